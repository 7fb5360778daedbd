#include "entry/load_codec.h"

#include "base/hash.h"
#include "core/load_internal.h"

#include <math.h>
#include <string.h>

/* Figures are exact to 3 %: 12 steps per doubling, from 0.1 to 235,000. */
#define FIGURE_UNIT 0.1
#define FIGURE_STEPS 12

/* Unit of ages. */
#define AGE_MS 10

/* Figures per place and per class. */
#define PLACE_FIGURES 4
#define DEMAND_FIGURES 3

static uint8_t encode_figure(double value)
{
	double step;

	/* Also false for NaN. */
	if (!(value >= FIGURE_UNIT / 2))
		return 0;
	step = 1 + FIGURE_STEPS * log2(value / FIGURE_UNIT);
	if (step < 1)
		return 1;
	return step < UINT8_MAX ? (uint8_t)lround(step) : UINT8_MAX;
}

static double decode_figure(uint8_t figure)
{
	return figure ? FIGURE_UNIT * exp2((double)(figure - 1) / FIGURE_STEPS) : 0;
}

static uint32_t encode_ms(ht_ms ms)
{
	if (ms <= 0)
		return 0;
	return ms < UINT32_MAX ? (uint32_t)ms : UINT32_MAX;
}

static size_t find_dc(const struct ht_load_names *names, uint32_t dc)
{
	size_t i = 0;

	while (i < names->dc_count && names->dcs[i] != dc)
		i++;
	return i;
}

static size_t find_service(const struct ht_load_names *names, uint32_t service)
{
	size_t i = 0;

	while (i < names->service_count && names->services[i].service != service)
		i++;
	return i;
}

static size_t find_class(const struct ht_load_classes *classes, const struct ht_load_terms *terms)
{
	size_t i = 0;

	while (i < classes->count && !ht_load_terms_equal(&classes->terms[i], terms))
		i++;
	return i;
}

static void add_dc(struct ht_load_names *names, uint32_t dc)
{
	if (find_dc(names, dc) == names->dc_count && names->dc_count < HT_LOAD_DCS_MAX)
		names->dcs[names->dc_count++] = dc;
}

static void add_class(struct ht_load_classes *classes, const struct ht_load_terms *terms)
{
	if (find_class(classes, terms) == classes->count && classes->count < HT_LOAD_CLASSES_MAX)
		classes->terms[classes->count++] = *terms;
}

static void add_service(struct ht_load_names *names, const struct ht_load_service *s)
{
	size_t i = find_service(names, s->service);

	if (i == HT_LOAD_SERVICES_MAX)
		return;
	if (i == names->service_count)
		names->services[names->service_count++].service = s->service;
	for (size_t c = 0; c < s->class_count; c++)
		add_class(&names->services[i], &s->classes[c].terms);
	for (size_t p = 0; p < s->place_count; p++)
		add_dc(names, s->places[p].dc);
}

static void collect_names(struct ht_load_names *names, const struct ht_load_sum *const *sums,
			  size_t count)
{
	*names = (struct ht_load_names){0};
	for (size_t i = 0; i < count; i++)
		add_dc(names, sums[i]->dc);
	for (size_t i = 0; i < count; i++)
		for (size_t s = 0; s < sums[i]->service_count; s++)
			add_service(names, &sums[i]->services[s]);
}

static bool has_service(const struct ht_load_names *names, const struct ht_load_classes *s)
{
	size_t i = find_service(names, s->service);

	if (i == names->service_count)
		return false;
	for (size_t c = 0; c < s->count; c++)
		if (find_class(&names->services[i], &s->terms[c]) == names->services[i].count)
			return false;
	return true;
}

/* True if a message with the sum of one data centre and @names can refer to @base. */
static bool has_names(const struct ht_load_names *base, const struct ht_load_names *names)
{
	if (base->dcs[0] != names->dcs[0])
		return false;
	for (size_t i = 0; i < names->dc_count; i++)
		if (find_dc(base, names->dcs[i]) == base->dc_count)
			return false;
	for (size_t s = 0; s < names->service_count; s++)
		if (!has_service(base, &names->services[s]))
			return false;
	return true;
}

/* Writes the keys of services and the terms of classes; returns the number of terms. */
static size_t write_services(const struct ht_load_names *names, uint32_t *services, uint32_t *terms)
{
	size_t n = 0;

	for (size_t s = 0; s < names->service_count; s++) {
		const struct ht_load_classes *classes = &names->services[s];

		services[s] = classes->service;
		terms[n++] = (uint32_t)classes->count;
		for (size_t c = 0; c < classes->count; c++) {
			terms[n++] = classes->terms[c].priority;
			terms[n++] = encode_ms(classes->terms[c].aim);
			terms[n++] = encode_ms(classes->terms[c].limit);
		}
	}
	return n;
}

uint32_t ht_load_names_hash(const struct ht_load_names *names)
{
	uint32_t terms[HT_LOAD_SERVICES_MAX * (1 + 3 * HT_LOAD_CLASSES_MAX)];
	uint32_t services[HT_LOAD_SERVICES_MAX];
	size_t n = write_services(names, services, terms);
	uint64_t hash = ht_hash_pair(ht_hash(services, names->service_count * sizeof(*services)),
				     ht_hash(terms, n * sizeof(*terms)));

	hash = ht_hash_pair(ht_hash(names->dcs, names->dc_count * sizeof(*names->dcs)), hash);
	return (uint32_t)hash ? (uint32_t)hash : 1;
}

static size_t class_total(const struct ht_load_names *names)
{
	size_t total = 0;

	for (size_t s = 0; s < names->service_count; s++)
		total += names->services[s].count;
	return total;
}

static const struct ht_load_demand *find_demand(const struct ht_load_sum *sum, uint32_t service,
						const struct ht_load_terms *terms)
{
	return ht_load_find_class(ht_load_find(sum, service), terms);
}

/* The lowest known response time of a class in all sums; 0: unknown. */
static double lowest_work(const struct ht_load_sum *const *sums, size_t count, uint32_t service,
			  const struct ht_load_terms *terms)
{
	double lowest = 0;

	for (size_t i = 0; i < count; i++) {
		const struct ht_load_demand *d = find_demand(sums[i], service, terms);

		if (d && d->work_ms > 0 && (lowest <= 0 || d->work_ms < lowest))
			lowest = d->work_ms;
	}
	return lowest;
}

static void write_demand(struct ht_load_message *m, const struct ht_load_names *names,
			 const struct ht_load_sum *const *sums, size_t count)
{
	uint8_t *to = m->demand, *work = m->work;

	for (size_t i = 0; i < count; i++) {
		for (size_t s = 0; s < names->service_count; s++) {
			const struct ht_load_classes *classes = &names->services[s];

			for (size_t c = 0; c < classes->count; c++) {
				const struct ht_load_demand *d =
					find_demand(sums[i], classes->service, &classes->terms[c]);

				*to++ = d ? encode_figure(d->opening) : 0;
				*to++ = d ? encode_figure(d->refused) : 0;
				*to++ = d ? encode_figure(d->continued) : 0;
				if (i == 0)
					*work++ = encode_figure(lowest_work(
						sums, count, classes->service, &classes->terms[c]));
			}
		}
	}
	m->msg.demand = (ProtobufCBinaryData){.len = (size_t)(to - m->demand), .data = m->demand};
	m->msg.work = (ProtobufCBinaryData){.len = (size_t)(work - m->work), .data = m->work};
}

static void add_places(struct ht_load_place total[HT_LOAD_DCS_MAX],
		       const struct ht_load_names *names, const struct ht_load_sum *sum,
		       uint32_t service)
{
	const struct ht_load_service *found = ht_load_find(sum, service);

	for (size_t p = 0; found && p < found->place_count; p++) {
		size_t i = find_dc(names, found->places[p].dc);

		if (i == names->dc_count)
			continue;
		total[i].open += found->places[p].open;
		total[i].answered += found->places[p].answered;
		total[i].shed += found->places[p].shed;
		total[i].continued += found->places[p].continued;
	}
}

static uint8_t *write_places(uint8_t *to, const struct ht_load_names *names,
			     const struct ht_load_sum *const *sums, size_t count)
{
	for (size_t s = 0; s < names->service_count; s++) {
		struct ht_load_place total[HT_LOAD_DCS_MAX] = {0};

		for (size_t i = 0; i < count; i++)
			add_places(total, names, sums[i], names->services[s].service);
		for (size_t i = 0; i < names->dc_count; i++) {
			*to++ = encode_figure(total[i].open);
			*to++ = encode_figure(total[i].answered);
			*to++ = encode_figure(total[i].shed);
			*to++ = encode_figure(total[i].continued);
		}
	}
	return to;
}

/* Adds the targets of @sum to @list of all sums. */
static size_t merge_targets(struct ht_load_target *list, size_t count,
			    const struct ht_load_sum *sum)
{
	for (size_t t = 0; t < sum->target_count; t++) {
		size_t i = 0;

		while (i < count && list[i].mark != sum->targets[t].mark)
			i++;
		if (i == count)
			list[count++] = (struct ht_load_target){.mark = sum->targets[t].mark};
		list[i].open += sum->targets[t].open;
		list[i].flows += sum->targets[t].flows;
	}
	return count;
}

static void write_targets(struct ht_load_message *m, const struct ht_load_sum *const *sums,
			  size_t count, size_t max)
{
	struct ht_load_target all[HT_LOAD_DCS_MAX * HT_LOAD_TARGETS_MAX];
	struct ht_load_target most[HT_LOAD_TARGETS_MAX];
	struct ht_load_top top = {0};
	size_t n = 0, kept;

	for (size_t i = 0; i < count; i++)
		n = merge_targets(all, n, sums[i]);
	for (size_t i = 0; i < n; i++)
		ht_load_top_add(&top, &all[i]);
	kept = ht_load_top_take(&top, most);
	if (kept > max)
		kept = max;
	for (size_t i = 0; i < kept; i++) {
		m->marks[i] = most[i].mark;
		m->open[i] = most[i].open;
		m->flows[i] = most[i].flows;
	}
	m->msg.n_target_marks = m->msg.n_target_open = m->msg.n_target_flows = kept;
	m->msg.target_marks = m->marks;
	m->msg.target_open = m->open;
	m->msg.target_flows = m->flows;
}

static void write_names(struct ht_load_message *m)
{
	m->msg.n_dcs = m->names.dc_count;
	m->msg.dcs = m->names.dcs;
	m->msg.n_services = m->names.service_count;
	m->msg.services = m->services;
	m->msg.n_terms = write_services(&m->names, m->services, m->terms);
	m->msg.terms = m->terms;
}

void ht_load_encode(struct ht_load_message *m, const struct ht_load_sum *const *sums, size_t count,
		    size_t targets, const struct ht_load_names *base)
{
	uint8_t *end;

	ht__entry_load__init(&m->msg);
	collect_names(&m->names, sums, count);
	if (base && count == 1 && has_names(base, &m->names)) {
		m->names = *base;
		m->msg.names = ht_load_names_hash(base);
	} else {
		write_names(m);
	}
	for (size_t i = 0; i < count; i++) {
		m->instances[i] = sums[i]->instances;
		m->ages[i] = encode_ms(sums[i]->age / AGE_MS);
	}
	m->msg.n_instances = m->msg.n_ages = count;
	m->msg.instances = m->instances;
	m->msg.ages = m->ages;
	write_demand(m, &m->names, sums, count);
	end = write_places(m->places, &m->names, sums, 1);
	if (count > 1)
		end = write_places(end, &m->names, sums + 1, count - 1);
	m->msg.places = (ProtobufCBinaryData){.len = (size_t)(end - m->places), .data = m->places};
	write_targets(m, sums, count, targets);
}

/* Reads the classes of one service from @terms; returns the number of values read, 0 if they are
 * malformed. */
static size_t read_classes(const uint32_t *terms, size_t count, struct ht_load_classes *out)
{
	if (!count || terms[0] > HT_LOAD_CLASSES_MAX || (count - 1) / 3 < terms[0])
		return 0;
	out->count = 0;
	for (size_t c = 0; c < terms[0]; c++) {
		const uint32_t *t = terms + 1 + 3 * c;

		add_class(out, &(struct ht_load_terms){
				       .priority = t[0], .aim = (ht_ms)t[1], .limit = (ht_ms)t[2]});
	}
	return out->count == terms[0] ? 1 + 3 * out->count : 0;
}

static bool read_names(const Ht__EntryLoad *msg, struct ht_load_names *names)
{
	size_t used = 0;

	*names = (struct ht_load_names){0};
	if (msg->n_services > HT_LOAD_SERVICES_MAX)
		return false;
	for (size_t i = 0; i < msg->n_dcs && i <= HT_LOAD_DCS_MAX; i++)
		add_dc(names, msg->dcs[i]);
	for (size_t s = 0; s < msg->n_services; s++) {
		struct ht_load_classes *classes = &names->services[s];
		size_t n = used < msg->n_terms
				   ? read_classes(msg->terms + used, msg->n_terms - used, classes)
				   : 0;

		if (!n || find_service(names, msg->services[s]) < names->service_count)
			return false;
		classes->service = msg->services[s];
		names->service_count++;
		used += n;
	}
	/* Duplicate data centres have not been added. */
	return names->dc_count && names->dc_count == msg->n_dcs && used == msg->n_terms;
}

static bool find_names(const Ht__EntryLoad *msg, const struct ht_load_names *known, size_t count,
		       struct ht_load_names *names)
{
	if (!msg->names)
		return read_names(msg, names);
	for (size_t i = 0; i < count; i++) {
		if (known[i].dc_count && ht_load_names_hash(&known[i]) == msg->names) {
			*names = known[i];
			return true;
		}
	}
	return false;
}

static bool sizes_match(const Ht__EntryLoad *msg, const struct ht_load_names *names)
{
	size_t count = msg->n_instances, classes = class_total(names);
	size_t groups = count > 1 ? 2 : 1;

	return count && count <= names->dc_count && msg->n_ages == count &&
	       msg->demand.len == count * classes * DEMAND_FIGURES && msg->work.len == classes &&
	       msg->places.len == groups * names->service_count * names->dc_count * PLACE_FIGURES &&
	       msg->n_target_marks <= HT_LOAD_TARGETS_MAX &&
	       msg->n_target_open == msg->n_target_marks &&
	       msg->n_target_flows == msg->n_target_marks;
}

/* Reads the demand of sum @i. */
static void read_demand(const Ht__EntryLoad *msg, const struct ht_load_names *names, size_t i,
			struct ht_load_sum *out)
{
	size_t at = i * class_total(names) * DEMAND_FIGURES, work = 0;

	out->service_count = names->service_count;
	for (size_t s = 0; s < names->service_count; s++) {
		const struct ht_load_classes *classes = &names->services[s];
		struct ht_load_service *service = &out->services[s];

		service->service = classes->service;
		service->class_count = classes->count;
		for (size_t c = 0; c < classes->count; c++, at += DEMAND_FIGURES)
			service->classes[c] = (struct ht_load_demand){
				.terms = classes->terms[c],
				.opening = decode_figure(msg->demand.data[at]),
				.refused = decode_figure(msg->demand.data[at + 1]),
				.continued = decode_figure(msg->demand.data[at + 2]),
				.work_ms = decode_figure(msg->work.data[work++]),
			};
	}
}

/* Reads the places of group @group, see ht_load_encode(). */
static void read_places(const Ht__EntryLoad *msg, const struct ht_load_names *names, size_t group,
			struct ht_load_sum *out)
{
	size_t at = group * names->service_count * names->dc_count * PLACE_FIGURES;

	for (size_t s = 0; s < names->service_count; s++) {
		struct ht_load_service *service = &out->services[s];

		for (size_t i = 0; i < names->dc_count; i++, at += PLACE_FIGURES) {
			const uint8_t *from = &msg->places.data[at];

			if (!from[0] && !from[1] && !from[2] && !from[3])
				continue;
			service->places[service->place_count++] = (struct ht_load_place){
				.dc = names->dcs[i],
				.open = decode_figure(from[0]),
				.answered = decode_figure(from[1]),
				.shed = decode_figure(from[2]),
				.continued = decode_figure(from[3]),
			};
		}
	}
}

bool ht_load_decode(const Ht__EntryLoad *msg, const struct ht_load_names *known, size_t known_count,
		    struct ht_load_view *out, struct ht_load_names *names)
{
	if (!find_names(msg, known, known_count, names) || !sizes_match(msg, names))
		return false;
	*out = (struct ht_load_view){.count = msg->n_instances};
	for (size_t i = 0; i < out->count; i++) {
		struct ht_load_sum *sum = &out->dcs[i];

		if (!msg->instances[i] || msg->instances[i] > HT_LOAD_INSTANCES_MAX)
			return false;
		sum->dc = names->dcs[i];
		sum->instances = msg->instances[i];
		sum->age = (ht_ms)msg->ages[i] * AGE_MS;
		read_demand(msg, names, i, sum);
		if (i < 2)
			read_places(msg, names, i, sum);
	}
	out->dcs[0].target_count = msg->n_target_marks;
	for (size_t t = 0; t < msg->n_target_marks; t++)
		out->dcs[0].targets[t] = (struct ht_load_target){.mark = msg->target_marks[t],
								 .open = msg->target_open[t],
								 .flows = msg->target_flows[t]};
	return true;
}
