#include "bench/rules_text.h"

#include <stdio.h>
#include <stdlib.h>

const char *rules_dc(int index)
{
	static char name[32];

	snprintf(name, sizeof(name), "region%d-dc%02d", index % 8 + 1, index + 1);
	return name;
}

char *rules_text(const struct rules_shape *shape)
{
	size_t size = 0;
	char *text = NULL;
	FILE *out = open_memstream(&text, &size);

	if (!out)
		abort();
	for (int i = 0; i < shape->services; i++)
		fprintf(out,
			"service stock-%05d region r1 address 127.%d.%d.%d:5683 deadline 4000"
			"  # asked by the warehouse team\n",
			i, 64 + i / 62500, i / 250 % 250, i % 250 + 1);
	for (int i = 0; i < shape->targets; i++) {
		fprintf(out, "target stock-%05d stock-%05d-t%05d dc %s address 127.%d.%d.%d:5700 ",
			i % shape->services, i % shape->services, i, rules_dc(i % shape->dcs),
			100 + i / 62500, i / 250 % 250, i % 250 + 1);
		if (shape->slots)
			fprintf(out, "slots %d ", shape->slots);
		fprintf(out, "weight %s  # asked by the warehouse team\n",
			i < shape->changed ? "1.25" : "1");
	}
	if (fclose(out) != 0)
		abort();
	return text;
}
