/*
 * Stand-in of the users' metadata store as a program. Prints its address, then serves until its
 * standard input ends. Objects are written by PUT and DELETE /-/objects/KIND/NAME, faults by PUT
 * and DELETE /control/FAULT (down, stale, compact, no-era, late), pages by PUT /control/page, and a
 * return from an older copy by PUT /control/return with the number of changes that it lacks.
 */
#include "standins/common/metadata.h"

#include <stdio.h>
#include <unistd.h>

int main(void)
{
	struct ht_si_metadata *md = ht_si_metadata_new(0);
	char byte;

	if (!md) {
		fputs("metadata: no address to serve at\n", stderr);
		return 1;
	}
	printf("%s\n", ht_si_metadata_address(md));
	fflush(stdout);
	while (read(STDIN_FILENO, &byte, 1) > 0)
		;
	ht_si_metadata_free(md);
	return 0;
}
