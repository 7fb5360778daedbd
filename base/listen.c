#include "base/listen.h"

#include <errno.h>
#include <string.h>
#include <unistd.h>

int ht_listen(const struct ht_addr *addr, int backlog, const char *purpose, struct ht_err *err)
{
	static const int on = 1;
	int fd = socket(addr->ss.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	char text[HT_ADDR_TEXT];

	if (fd >= 0)
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (fd >= 0 && bind(fd, (const struct sockaddr *)&addr->ss, addr->len) == 0 &&
	    listen(fd, backlog) == 0)
		return fd;
	ht_err_set(err, HT_EIO, "%s at %s: %s", purpose, ht_addr_format(addr, text),
		   strerror(errno));
	if (fd >= 0)
		close(fd);
	return -1;
}
