/*
 * Private interfaces of the request path: its parts share one context and are freed together.
 * Only the files of the request path include this header.
 */
#ifndef HT_CORE_PATH_H
#define HT_CORE_PATH_H

#include "base/list.h"
#include "core/flows.h"
#include "core/ledger.h"
#include "core/placement.h"
#include "core/request.h"
#include "core/retries.h"
#include "core/services.h"
#include "core/targets.h"
#include "core/timers.h"

#include <glib.h>

/** A packet makes at most this many hops between instances, so that views that differ end. */
#define HT_HOP_LIMIT 6

/** Time taken off the deadline at each hop, so that the refusal reaches the ingress in time. */
#define HT_HOP_ALLOWANCE 5

/** CoAP carries the time to come back in whole seconds, so no shorter time can be given. */
#define HT_RETRY_AFTER_MIN 1000

/** 2.02: a cancellation was carried out. */
#define HT_DELETED 66

struct ht_request_path {
	struct ht_env *env;
	struct ht_config_if *config;
	struct ht_membership_if *membership;
	struct ht_ownership_if *ownership;
	struct ht_timers *timers;
	struct ht_flows *flows;
	struct ht_ledger *ledger;
	struct ht_retries *home_retries;
	struct ht_retries *ingress_retries;
	GHashTable *targets; /**< struct ht_target by id */
	GHashTable *pending; /**< struct ht_pending by id */
	GHashTable *jobs;    /**< struct ht_job by id */
	GHashTable *open;    /**< parked or forwarded idempotent jobs, by request */
	struct ht_list parked;
	struct ht_list hops;
	ht_ms uncertain_until; /**< until then, copies of idempotent requests may have run unseen */
	uint64_t next_id;
	uint32_t ticket_sequence;
	bool handing_over;
	bool ledger_closed;	  /**< handed over whole: postings run here no more */
	struct ht_list followers; /**< instances that got this incarnation's ledger */
	GHashTable *predecessors; /**< ledgers received, by incarnation */
	struct ht_router_if router_if;
	struct ht_targets_if targets_if;
	struct ht_ledger_if ledger_if;
	struct ht_tick_if tick_if;
};

/** Where the answer of a request goes: an ingress and its handle. */
struct ht_waiter {
	uint64_t ingress;
	uint64_t ingress_id;
	uint32_t block; /**< the block it asks for, packed by ht_block_pack(); 0: none */
};

/** Block2 in one number: block number, size exponent, and 1. */
static inline uint32_t ht_block_pack(bool has, uint32_t num, uint8_t szx)
{
	return has ? num << 4 | (uint32_t)szx << 1 | 1 : 0;
}

enum ht_job_state {
	HT_JOB_NEW,
	HT_JOB_PARKED, /**< waits for a claim or a configuration */
	HT_JOB_HOP,    /**< forwarded; kept until its deadline in case it comes back */
	HT_JOB_QUEUED,
	HT_JOB_SENT,
};

/** A request at an instance that acts, or may come to act, as home. */
struct ht_job {
	struct ht_list node; /**< parked, hops, a target's queue or its requests in flight */
	struct ht_timer timer;
	uint64_t id;
	struct ht_body *body;
	struct ht_entry *entry; /**< its place in the ledger while queued or sent */
	struct ht_waiter *waiters;
	unsigned int waiter_count;
	enum ht_job_state state;
	ht_ms deadline;
	ht_ms sent_at;
	uint64_t target;
	uint64_t sender; /**< instance that forwarded it; own id for the local ingress */
	uint64_t hop_id; /**< the sender's handle, for Returned */
	uint64_t hop_peer;
	uint64_t open_key; /**< key in the table of open requests, or 0 */
	uint32_t flags;	   /**< ForwardFlag bits it arrived with */
	uint32_t hop_flags;
	uint64_t hop_target;
	uint32_t hops_left;
	uint64_t config_version;
	double wait;		 /**< sender's estimate, with FORWARD_DEFLECTED */
	unsigned int tried;	 /**< bit per index of the row */
	unsigned int asked;	 /**< look-ups made so far */
	unsigned int known_sets; /**< earlier target sets that the asking sender knows, plus 1 */
	bool waited;		 /**< has been parked once */
	bool compared;		 /**< a deflection came back */
	bool uncertain;		 /**< a copy may have run at a home that has changed */
	bool one_off;		 /**< placed for this request only: the flow stays */
	bool tentative;		 /**< asks whether the flow was taken where it was deflected to */
	bool replaced;		 /**< left a target: that one is not tried again */
	bool chained;	       /**< asks earlier homes for a sender that lacks their target sets */
	bool stripped;	       /**< nobody waits for a Returned of it */
	bool answered;	       /**< waiters are served; only the slot is still held */
	enum ht_verdict floor; /**< least verdict that a refusal may give */
};

/** A caller's request at its ingress. */
struct ht_pending {
	struct ht_timer timer;
	uint64_t id;
	uint64_t handle;
	struct ht_body *body;
	ht_ms deadline;
	ht_ms retry_at;
	unsigned int attempts;
	unsigned int outstanding; /**< bit per attempt */
	uint64_t peers[8];	  /**< instance that each attempt went to */
	unsigned int candidate;
	bool forwarded;	       /**< some attempt left this instance and may have run */
	enum ht_verdict worst; /**< of the attempts that were refused */
	bool waited;
	uint32_t flags;
};

/** The target in the configuration in force, or NULL. */
const struct ht_target_conf *ht_path_target_conf(struct ht_request_path *p, uint64_t target);

/** Id of a request in events: hash of the ticket, or of flow and token. */
uint64_t ht_request_event_id(const struct ht_body *body);

/** Emits an event about a request. */
#define ht_path_event(p, ev, body, target, instance, ...)                                          \
	(p)->env->emit((p)->env, HT_EV_##ev, (body)->flow, ht_request_event_id(body), target,      \
		       instance, __VA_ARGS__)

static inline void ht_path_count(struct ht_request_path *p, enum ht_counter id)
{
	ht_count(&p->env->counters, id, 1);
}

/* router_home.c: requests at the home */
struct ht_job *ht_job_new(struct ht_request_path *p, struct ht_body *body, uint64_t sender);
bool ht_job_add_waiter(struct ht_job *job, uint64_t ingress, uint64_t ingress_id);
/** All who wait for @repeat now wait for @job; false when out of memory. */
bool ht_job_attach(struct ht_job *job, const struct ht_job *repeat);
void ht_job_free(struct ht_request_path *p, struct ht_job *job);
/** Decides what happens to the job now: serve, look up, deflect, park, refuse. */
void ht_home_decide(struct ht_request_path *p, struct ht_job *job);
/** Takes the flow's next request as new: candidates in order, without further look-ups. */
void ht_home_place(struct ht_request_path *p, struct ht_job *job);
/** Accepts the job at a target of this instance: queue it, or issue a ticket. */
void ht_home_accept(struct ht_request_path *p, struct ht_job *job, struct ht_target *t);
/** Makes the job wait for a claim or a configuration, once, for claim_wait at most. */
void ht_home_park(struct ht_request_path *p, struct ht_job *job);
/** Runs the parked jobs that wait for @target, or all with 0. */
void ht_home_resume(struct ht_request_path *p, uint64_t target);
/** True when the target's home is here and it can queue the job within its deadline. */
bool ht_home_can_queue(struct ht_request_path *p, const struct ht_job *job,
		       const struct ht_target_conf *conf);
/** Finds the place for a job that a target did not start; its posting is sealed first. */
void ht_home_replace(struct ht_request_path *p, struct ht_job *job);

/* router_place.c: placement of a request at a target */
const struct ht_service_conf *ht_place_service(struct ht_request_path *p, const struct ht_job *job);
uint64_t ht_place_home(struct ht_request_path *p, const struct ht_target_conf *t);
/** Estimated wait at a target whose home is this instance; INFINITY when it takes no work. */
double ht_place_wait(struct ht_request_path *p, const struct ht_target_conf *conf);
/** Makes the job wait for the claim of its target, once; true when it now waits. */
bool ht_place_park(struct ht_request_path *p, struct ht_job *job);
/** Takes the job at a target whose home is here; @record: the flow stays there. */
void ht_place_take(struct ht_request_path *p, struct ht_job *job, const struct ht_target_conf *conf,
		   bool record);
/**
 * Tries the row's candidates that were not tried yet. True when the job has gone to one of them;
 * local ones are taken when their wait is below @wait.
 */
bool ht_place_deflect(struct ht_request_path *p, struct ht_job *job, const struct ht_row *row,
		      double wait, bool record);
void ht_place_hop_limit(struct ht_request_path *p, struct ht_job *job);
/** Asks the next earlier home that may know the flow; true when the job has gone there. */
bool ht_place_look_up(struct ht_request_path *p, struct ht_job *job,
		      const struct ht_service_conf *svc, const struct ht_row *row);

/** Number of earlier target sets of the service that are known here. */
unsigned int ht_place_known_sets(struct ht_request_path *p, uint64_t service);

/* router_hop.c: forwards between homes */
/** Registers a job that is parked or sent on, so that its repeats join it. */
void ht_open_add(struct ht_request_path *p, struct ht_job *job);
void ht_open_del(struct ht_request_path *p, struct ht_job *job);
/** Attaches @job to an open job of the same request; true when it did, and @job is gone. */
bool ht_open_join(struct ht_request_path *p, struct ht_job *job);

bool ht_hop_send(struct ht_request_path *p, struct ht_job *job, uint64_t peer, uint64_t target,
		 uint32_t flags, double wait);
void ht_hop_return(struct ht_request_path *p, struct ht_job *job, enum ht_return_reason reason,
		   double wait);
/** Tells the sender of a deflection or look-up where the flow lives; it hears no more. */
void ht_hop_taken(struct ht_request_path *p, struct ht_job *job, uint64_t target);
void ht_hop_return_flow(struct ht_request_path *p, struct ht_job *job, uint64_t target);
void ht_hop_was_taken(struct ht_request_path *p, struct ht_job *job, uint64_t target);
void ht_hop_returned(struct ht_request_path *p, struct ht_job *job, enum ht_return_reason reason,
		     double wait);
void ht_hop_peer_down(struct ht_request_path *p, uint64_t peer);

/* router_serve.c: queue, send, results */
void ht_serve_enqueue(struct ht_request_path *p, struct ht_job *job, struct ht_target *t);
void ht_serve_run(struct ht_request_path *p, struct ht_target *t);
void ht_serve_flush(struct ht_request_path *p, struct ht_target *t);
/** Removes a queued job; its waiters are told that it was not run. */
void ht_serve_cancel_queued(struct ht_request_path *p, struct ht_job *job);
/** Refuses the job as not run and keeps the refusal, so that a late copy does not run. */
void ht_serve_refuse(struct ht_request_path *p, struct ht_job *job, uint8_t code, ht_ms retry_after,
		     const char *why);
/** Removes the ledger entry of an idempotent request that has no outcome. */
void ht_serve_drop_entry(struct ht_request_path *p, struct ht_job *job);
/** Finds a new place for the job; its other waiters follow and attach where they can. */
void ht_serve_replace_all(struct ht_request_path *p, struct ht_job *job, bool hand_over);

/* router_result.c: how requests at targets end */
void ht_serve_result(struct ht_request_path *p, const struct ht_target_answer *ans);
void ht_serve_target_state(struct ht_request_path *p, uint64_t id, enum ht_target_state state);
void ht_serve_owner_changed(struct ht_request_path *p, uint64_t id);
void ht_serve_config_changed(struct ht_request_path *p);

/* router_posting.c: tickets */
void ht_posting_decide(struct ht_request_path *p, struct ht_job *job);
/** Goes on with the job as a posting without a ticket. */
void ht_posting_strip(struct ht_request_path *p, struct ht_job *job);
/** Seals the job's ticket: it has not run and will not run. */
void ht_posting_seal(struct ht_request_path *p, struct ht_job *job);
/** Answers with a ticket of this incarnation (4.01) and frees the job. */
void ht_posting_issue(struct ht_request_path *p, struct ht_job *job);

/** Fills in a new ticket of this incarnation for the flow. */
void ht_posting_ticket(struct ht_request_path *p, const struct ht_body *body,
		       uint8_t raw[HT_TICKET_LEN]);

/* handover.c: the ledger of an incarnation on its way to the next owners */
void ht_handover_init(struct ht_request_path *p);
void ht_handover_free(struct ht_request_path *p);
/** Publishes "ledger". */
void ht_handover_publish(struct ht_request_path *p);
/** Takes in a ledger; the "entries" of the published interface. */
void ht_handover_take(void *ctx, uint64_t peer, const Ht__LedgerEntries *m);
/** Drops ledgers that are too old to say anything about a ticket. */
void ht_handover_forget(struct ht_request_path *p);
/** Tells the instances that got the ledger about a change of a posting. */
void ht_handover_update(struct ht_request_path *p, const struct ht_entry *e);
/**
 * True when the ledger of @incarnation was received whole. *@clock (may be NULL) is then an
 * estimate of that incarnation's clock now.
 */
bool ht_handover_complete(struct ht_request_path *p, uint64_t incarnation, ht_ms *clock);
void ht_handover_peer_down(struct ht_request_path *p, uint64_t peer);
/** Closes the ledger and marks it complete once no posting can run here any more. */
void ht_handover_finish(struct ht_request_path *p);
void ht_handover_expire(struct ht_request_path *p);

/* router_cancel.c */
void ht_cancel_decide(struct ht_request_path *p, struct ht_job *job);

/* router_answer.c: answers to ingresses; all take the job's waiters */
/** Answers all who wait for @job. */
void ht_reply_all(struct ht_request_path *p, struct ht_job *job, const struct ht_answer *answer);
void ht_reply_refuse(struct ht_request_path *p, struct ht_job *job, uint8_t code,
		     enum ht_verdict verdict, ht_ms retry_after, const char *why);
void ht_reply_unavailable(struct ht_request_path *p, struct ht_job *job, const char *why);
void ht_reply_may_have_run(struct ht_request_path *p, struct ht_job *job, const char *why);
/** Answers all waiters from the kept answer, each request with its own block. */
void ht_reply_entry(struct ht_request_path *p, struct ht_job *job, const struct ht_entry *e);
/** Sends one answer to one ingress; @target is where it ran, or 0. */
void ht_reply_send(struct ht_request_path *p, const struct ht_body *body, uint64_t target,
		   const struct ht_waiter *to, const struct ht_answer *answer);

/* router_ingress.c: requests at the ingress */
void ht_ingress_request(struct ht_request_path *p, uint64_t handle, const struct ht_request *req);
void ht_ingress_answer(struct ht_request_path *p, uint64_t id, const struct ht_answer *answer);
void ht_ingress_returned(struct ht_request_path *p, struct ht_pending *w,
			 enum ht_return_reason reason);
void ht_ingress_peer_down(struct ht_request_path *p, uint64_t peer,
			  enum ht_peer_down_reason reason);
void ht_ingress_config_changed(struct ht_request_path *p);
void ht_pending_free(struct ht_request_path *p, struct ht_pending *w);

/** Ids are unique in the instance; job ids and pending ids share one sequence. */
static inline uint64_t ht_path_id(struct ht_request_path *p)
{
	return ++p->next_id;
}

/** Id of a job's hop in Returned; the ids of an ingress end in the attempt's number instead. */
static inline uint64_t ht_hop_id(const struct ht_job *job)
{
	return job->id << 3 | 7;
}

/**
 * Homes have changed or ended: for the longest usual life of a request, a refusal of an idempotent
 * request says that it may have run, since its earlier copies are not known to the new home.
 */
#define HT_UNCERTAIN_PERIOD 10000
static inline void ht_path_set_uncertain(struct ht_request_path *p)
{
	p->uncertain_until = p->env->now + HT_UNCERTAIN_PERIOD;
}

static inline bool ht_path_uncertain(const struct ht_request_path *p)
{
	return p->env->now < p->uncertain_until;
}

/** Further ingresses that one forward can carry; repeats beyond them get the verdict at their
 * deadline. */
#define HT_MORE_INGRESS_MAX 15

struct ht_forward_frame {
	Ht__PeerMsg msg;
	Ht__Forward forward;
	Ht__RequestKey key;
	Ht__Ticket ticket;
	uint64_t more_ingress[HT_MORE_INGRESS_MAX];
	uint64_t more_ingress_id[HT_MORE_INGRESS_MAX];
	uint32_t more_block[HT_MORE_INGRESS_MAX];
};
/** Fills @f with the request; it points into @body. */
void ht_forward_fill(struct ht_forward_frame *f, const struct ht_body *body);

#endif
