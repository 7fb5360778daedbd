/* JSON-lines files, flushed per line so that a killed process loses no finished line. */
#ifndef HT_STANDINS_RECORDS_H
#define HT_STANDINS_RECORDS_H

#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>

/** Appends @line (reference taken over) to @file and flushes. */
static inline void ht_si_record(FILE *file, json_t *line)
{
	if (file && line) {
		json_dumpf(line, file, JSON_COMPACT);
		fputc('\n', file);
		fflush(file);
	}
	json_decref(line);
}

#endif
