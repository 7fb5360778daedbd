/* Generated rules texts of any size, with lines of the length that operators write. */
#ifndef HT_BENCH_RULES_TEXT_H
#define HT_BENCH_RULES_TEXT_H

#ifdef __cplusplus
extern "C" {
#endif

struct rules_shape {
	int services, targets; /**< targets are dealt out to the services in turn */
	int dcs;	       /**< data centres; the targets take them in turn */
	int changed; /**< number of targets, from the first on, whose weight was changed */
	int slots;   /**< 0: the default */
};

/** Data centre of the index; static buffer. */
const char *rules_dc(int index);

/** The text, to be freed with free(). */
char *rules_text(const struct rules_shape *shape);

#ifdef __cplusplus
}
#endif

#endif
