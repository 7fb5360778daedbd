#include "daemon/datagram_filter.h"

#include <fcntl.h>
#include <linux/filter.h>
#include <string.h>
#include <unistd.h>

/* The filter sees the datagram from its UDP header on. */
#define UDP_HEADER 8
#define CODE_OFFSET (UDP_HEADER + 1)
#define CODE_SIGNAL 0xe0

int ht_datagram_filter_next_fd(void)
{
	int fd = open("/", O_PATH | O_CLOEXEC);

	if (fd >= 0)
		close(fd);
	return fd;
}

static bool is_bound_to(int fd, const struct ht_addr *addr)
{
	char want[HT_ADDR_TEXT], got[HT_ADDR_TEXT];
	struct ht_addr local;
	int type = 0;
	socklen_t len = sizeof(type);

	memset(&local, 0, sizeof(local));
	local.len = sizeof(local.ss);
	return getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &len) == 0 && type == SOCK_DGRAM &&
	       getsockname(fd, (struct sockaddr *)&local.ss, &local.len) == 0 &&
	       strcmp(ht_addr_format(&local, got), ht_addr_format(addr, want)) == 0;
}

bool ht_datagram_filter_attach(int fd, const struct ht_addr *addr)
{
	struct sock_filter code[] = {
		/* Datagrams without a code go to libcoap, which counts them as malformed. */
		BPF_STMT(BPF_LD | BPF_W | BPF_LEN, 0),
		BPF_JUMP(BPF_JMP | BPF_JGT | BPF_K, CODE_OFFSET, 0, 3),
		BPF_STMT(BPF_LD | BPF_B | BPF_ABS, CODE_OFFSET),
		BPF_JUMP(BPF_JMP | BPF_JGE | BPF_K, CODE_SIGNAL, 0, 1),
		BPF_STMT(BPF_RET | BPF_K, 0),
		BPF_STMT(BPF_RET | BPF_K, UINT32_MAX),
	};
	struct sock_fprog program = {.len = sizeof(code) / sizeof(code[0]), .filter = code};

	return fd >= 0 && is_bound_to(fd, addr) &&
	       setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)) == 0;
}
