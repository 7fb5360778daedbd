#include "ctl/ctl.h"

int main(int argc, char **argv)
{
	return ht_ctl_main(argc, argv, stdout, stderr);
}
