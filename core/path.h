/*
 * Private interfaces between the files of the request path, which share struct ht_request_path.
 * Only these files and their tests include this header.
 *
 * A request enters at its ingress, the instance that the caller reached, as struct ht_pending. The
 * home of a target is the instance that owns it; there a request is a struct ht_job.
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

/** Most hops of a request between instances; ends forwarding loops while their views differ. */
#define HT_HOP_LIMIT 6

/** Time in ms taken off the deadline at each hop, so that a refusal reaches the ingress in time. */
#define HT_HOP_ALLOWANCE 5

/** Least retry_after in ms: CoAP's Max-Age counts whole seconds. */
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
	struct ht_retry_budget *home_retry_budget;
	struct ht_retry_budget *ingress_retry_budget;
	GHashTable *targets;	  /**< struct ht_target by id */
	GHashTable *pending;	  /**< struct ht_pending by id */
	GHashTable *jobs;	  /**< struct ht_job by id */
	GHashTable *dedup;	  /**< parked or forwarded idempotent jobs, by dedup_key */
	struct ht_list parked;	  /**< jobs in HT_JOB_PARKED */
	struct ht_list forwarded; /**< jobs in HT_JOB_FORWARDED */
	ht_ms uncertain_until;	  /**< until then, copies unknown here may have run */
	uint64_t next_id;
	uint32_t ticket_sequence;
	bool handing_over;  /**< the whole ledger is being sent, before a planned stop */
	bool ledger_closed; /**< sent whole: no POST request runs here any more */
	struct ht_list ledger_receivers; /**< instances that get this incarnation's ledger */
	GHashTable
		*received_ledgers; /**< ledgers received from other incarnations, by incarnation */
	struct ht_router_if router_if;
	struct ht_targets_if targets_if;
	struct ht_ledger_if ledger_if;
	struct ht_tick_if tick_if;
};

/** Receiver of a job's answer: an ingress and the id of its attempt there. */
struct ht_waiter {
	uint64_t ingress;
	uint64_t ingress_id;
	uint32_t block; /**< requested block as ht_block_pack() returns it; 0: none */
};

/** Block2 packed as number << 4 | size exponent << 1 | 1; 0 without Block2. */
static inline uint32_t ht_block_pack(bool has, uint32_t num, uint8_t szx)
{
	return has ? num << 4 | (uint32_t)szx << 1 | 1 : 0;
}

enum ht_job_state {
	HT_JOB_NEW,
	HT_JOB_PARKED,	  /**< waits for a claim, a connection or a configuration */
	HT_JOB_FORWARDED, /**< kept until its deadline in case it is returned */
	HT_JOB_QUEUED,	  /**< waits for a slot of its target */
	HT_JOB_SENT,	  /**< in flight at its target */
};

/** A request at an instance that is, or may become, the home that serves it. */
struct ht_job {
	struct ht_list node; /**< in parked, forwarded, or the target's queue or sent list */
	struct ht_timer timer;
	uint64_t id;
	struct ht_stored_request *req;
	struct ht_entry *entry; /**< in the ledger, while queued or sent */
	struct ht_waiter *waiters;
	unsigned int waiter_count;
	enum ht_job_state state;
	ht_ms deadline;
	ht_ms sent_at;
	uint64_t target;
	uint64_t sender;    /**< instance that forwarded it; own id for the local ingress */
	uint64_t hop_id;    /**< the sender's handle, for Returned */
	uint64_t hop_peer;  /**< instance that it was last forwarded to */
	uint64_t dedup_key; /**< key in the path's dedup table, or 0 */
	uint32_t flags;	    /**< ForwardFlag bits it arrived with */
	uint32_t hop_flags; /**< ForwardFlag bits it was last forwarded with */
	uint64_t hop_target;
	uint32_t hops_left;
	uint64_t config_version;
	double sender_wait;	  /**< wait in ms at the sender's target, with FORWARD_DEFLECTED */
	unsigned int tried;	  /**< bit per candidate */
	unsigned int lookups;	  /**< look-up steps taken, see ht_place_look_up() */
	unsigned int known_sets;  /**< look-up: earlier target sets known to the sender, plus 1 */
	bool was_parked;	  /**< a job is parked only once */
	bool deflection_returned; /**< another candidate returned a deflection */
	bool uncertain;		  /**< a copy may have run at an earlier home */
	bool keep_flow;		  /**< placed for this request only: its flow does not move */
	bool tentative;		  /**< look-up at the target that the flow was deflected to */
	bool relocated;		  /**< left a target without running; placed at another one */
	bool lookup_for_sender;	  /**< asks homes of target sets that the sender lacks */
	bool no_sender;		  /**< no sender expects a Returned message */
	bool answered;		  /**< the waiters have an answer; only the slot is in use */
	enum ht_verdict min_verdict; /**< HT_MAY_HAVE_RUN: a refusal must not say "not run" */
};

/** A caller's request at its ingress. */
struct ht_pending {
	struct ht_timer timer;
	uint64_t id;
	uint64_t handle; /**< of ht_core_ops.answer() */
	struct ht_stored_request *req;
	ht_ms deadline;
	ht_ms retry_at; /**< half of the deadline */
	unsigned int attempts;
	unsigned int outstanding;      /**< bit per attempt without an answer or a return */
	uint64_t peers[8];	       /**< instance that each attempt went to */
	unsigned int candidate;	       /**< index of the present one */
	bool forwarded;		       /**< an attempt went to another instance and may have run */
	enum ht_verdict worst_verdict; /**< of the attempts that were refused */
	bool waited_for_config;
	uint32_t flags; /**< ForwardFlag bits of its attempts */
};

/** The target in the configuration in force, or NULL. */
const struct ht_target_conf *ht_path_target_conf(struct ht_request_path *p, uint64_t target);

/** Id of a request in events and in the dedup table: hash of the ticket, or of flow and token. */
uint64_t ht_request_event_id(const struct ht_stored_request *req);

/** Emits an event about a request. */
#define ht_path_event(p, ev, req, target, instance, ...)                                           \
	(p)->env->emit((p)->env, HT_EV_##ev, (req)->flow, ht_request_event_id(req), target,        \
		       instance, __VA_ARGS__)

static inline void ht_path_count(struct ht_request_path *p, enum ht_counter id)
{
	ht_count(&p->env->counters, id, 1);
}

/* router_home.c: requests at the home */
/** Registers a new job, which takes a reference to @req; NULL when out of memory. */
struct ht_job *ht_job_new(struct ht_request_path *p, struct ht_stored_request *req,
			  uint64_t sender);
/** False when out of memory. */
bool ht_job_add_waiter(struct ht_job *job, uint64_t ingress, uint64_t ingress_id);
/** Adds the waiters of @dup to @job; false when it has none or out of memory. */
bool ht_job_attach(struct ht_job *job, const struct ht_job *dup);
/** Removes the job from every list and table and frees it; its waiters get no answer. */
void ht_job_free(struct ht_request_path *p, struct ht_job *job);
/** Serves, looks up, forwards, parks, returns or refuses the job; it may be freed. */
void ht_home_decide(struct ht_request_path *p, struct ht_job *job);
/** Places the job at the flow's candidates in order, without further look-ups. */
void ht_home_place(struct ht_request_path *p, struct ht_job *job);
/** Accepts the job at a target of this instance: queues it, or issues a ticket. */
void ht_home_accept(struct ht_request_path *p, struct ht_job *job, struct ht_target *t);
/** Parks the job for at most claim_wait, until ht_home_resume(). */
void ht_home_park(struct ht_request_path *p, struct ht_job *job);
/** Decides again on the jobs parked for @target, or on all with 0. */
void ht_home_resume(struct ht_request_path *p, uint64_t target);
/** True when this instance is the target's home and the job would end within its deadline. */
bool ht_home_can_queue(struct ht_request_path *p, const struct ht_job *job,
		       const struct ht_target_conf *conf);
/** Places a job that its target did not start elsewhere; a ticket is sealed first. */
void ht_home_relocate(struct ht_request_path *p, struct ht_job *job);

/* router_place.c: placement of a request at a target */
const struct ht_service_conf *ht_place_service(struct ht_request_path *p, const struct ht_job *job);
uint64_t ht_place_home(struct ht_request_path *p, const struct ht_target_conf *t);
/** Estimated wait at a target whose home is this instance; INFINITY when it takes no work. */
double ht_place_wait(struct ht_request_path *p, const struct ht_target_conf *conf);
/** Parks the job, once, for the claim of its target or its connection; true when parked. */
bool ht_place_park(struct ht_request_path *p, struct ht_job *job);
/** Takes the job at a target whose home is this instance; @record: assigns the flow to it. */
void ht_place_take(struct ht_request_path *p, struct ht_job *job, const struct ht_target_conf *conf,
		   bool record);
/**
 * Tries the candidates that were not tried yet, in order: a local one takes the job when its wait
 * is below @wait, a remote one gets it with the flag FORWARD_DEFLECTED. Substitutes are tried only
 * when @wait is INFINITY. True when the job has gone to one; @record assigns the flow to it, for a
 * remote one until it confirms or returns the job.
 */
bool ht_place_deflect(struct ht_request_path *p, struct ht_job *job,
		      const struct ht_candidates *row, double wait, bool record);
/** Refuses a job that has no hops left, and frees it. */
void ht_place_hop_limit(struct ht_request_path *p, struct ht_job *job);
/** Forwards the job to the next home that may know its flow; false when none is left. */
bool ht_place_look_up(struct ht_request_path *p, struct ht_job *job,
		      const struct ht_service_conf *svc, const struct ht_candidates *row);

/** Number of earlier target sets of the service that are known here. */
unsigned int ht_place_known_sets(struct ht_request_path *p, uint64_t service);

/* router_hop.c: forwards between homes */
/** Registers a job that is parked or forwarded, so that its duplicates join it. */
void ht_dedup_add(struct ht_request_path *p, struct ht_job *job);
void ht_dedup_del(struct ht_request_path *p, struct ht_job *job);
/** Joins @job to a registered job of the same request; true when it did and freed @job. */
bool ht_dedup_join(struct ht_request_path *p, struct ht_job *job);

/** Forwards the job to @peer; false when it was provably not sent. */
bool ht_hop_send(struct ht_request_path *p, struct ht_job *job, uint64_t peer, uint64_t target,
		 uint32_t flags, double wait);
/** Returns the job to its sender, @wait in ms, and frees it. */
void ht_hop_send_return(struct ht_request_path *p, struct ht_job *job, enum ht_return_reason reason,
			double wait);
/** Names the flow's @target to the sender of a deflection or look-up, as its last message. */
void ht_hop_send_taken(struct ht_request_path *p, struct ht_job *job, uint64_t target);
void ht_hop_send_flow_target(struct ht_request_path *p, struct ht_job *job, uint64_t target);
/** The peer has taken the job at @target: records that. */
void ht_hop_handle_taken(struct ht_request_path *p, struct ht_job *job, uint64_t target);
/** The peer has returned the job: places it anew. */
void ht_hop_handle_return(struct ht_request_path *p, struct ht_job *job,
			  enum ht_return_reason reason, double wait);
void ht_hop_peer_down(struct ht_request_path *p, uint64_t peer);

/* router_serve.c: queues, slots and connections of targets */
void ht_serve_enqueue(struct ht_request_path *p, struct ht_job *job, struct ht_target *t);
void ht_serve_run(struct ht_request_path *p, struct ht_target *t);
/** Relocates all queued jobs of a target that takes no work here any more. */
void ht_serve_flush(struct ht_request_path *p, struct ht_target *t);
/** Removes a queued job; its waiters are told that it was not run. */
void ht_serve_cancel_queued(struct ht_request_path *p, struct ht_job *job);
/** Refuses the job as not run and keeps the refusal, so that a delayed duplicate does not run. */
void ht_serve_refuse(struct ht_request_path *p, struct ht_job *job, uint8_t code, ht_ms retry_after,
		     const char *why);
/** Removes the ledger entry of an idempotent request that has no outcome. */
void ht_serve_drop_entry(struct ht_request_path *p, struct ht_job *job);
/** Places the job elsewhere: @hand_over: at the target's new home, if it has one. */
void ht_serve_relocate(struct ht_request_path *p, struct ht_job *job, bool hand_over);

/* router_result.c: results of requests at targets */
void ht_serve_result(struct ht_request_path *p, const struct ht_target_answer *ans);
void ht_serve_target_state(struct ht_request_path *p, uint64_t id, enum ht_target_state state);
void ht_serve_owner_changed(struct ht_request_path *p, uint64_t id);
void ht_serve_config_changed(struct ht_request_path *p);

/* router_posting.c: POST requests and their tickets */
void ht_post_decide(struct ht_request_path *p, struct ht_job *job);
/** Continues with the job as a POST request without a ticket. */
void ht_post_drop_ticket(struct ht_request_path *p, struct ht_job *job);
/** Seals the job's ticket: its request has not run and must never run. */
void ht_post_seal_ticket(struct ht_request_path *p, struct ht_job *job);
/** Answers with a ticket of this incarnation (4.01) and frees the job. */
void ht_post_issue_ticket(struct ht_request_path *p, struct ht_job *job);

/** Fills in a new ticket of this incarnation for the flow. */
void ht_post_new_ticket(struct ht_request_path *p, const struct ht_stored_request *req,
			uint8_t raw[HT_TICKET_LEN]);

/* handover.c: transfer of an incarnation's ledger to the next owners of its targets */
void ht_handover_init(struct ht_request_path *p);
void ht_handover_free(struct ht_request_path *p);
/** Publishes "ledger". */
void ht_handover_publish(struct ht_request_path *p);
/** Receives ledger entries; "entries" of the published interface. */
void ht_handover_receive(void *ctx, uint64_t peer, const Ht__LedgerEntries *m);
/** Drops received ledgers that are older than any usable ticket. */
void ht_handover_expire_received(struct ht_request_path *p);
/** Sends a changed entry of a POST request to the instances that get the ledger. */
void ht_handover_update(struct ht_request_path *p, const struct ht_entry *e);
/**
 * True when the ledger of @incarnation was received whole. *@clock (may be NULL) is then an
 * estimate of that incarnation's clock now.
 */
bool ht_handover_complete(struct ht_request_path *p, uint64_t incarnation, ht_ms *clock);
void ht_handover_peer_down(struct ht_request_path *p, uint64_t peer);
/** Closes the ledger and sends it as complete once no POST request can run here any more. */
void ht_handover_finish(struct ht_request_path *p);
void ht_handover_expire(struct ht_request_path *p);

/* router_cancel.c */
void ht_cancel_decide(struct ht_request_path *p, struct ht_job *job);

/* router_answer.c: answers to ingresses; all but ht_reply_send() consume the job's waiters */
/** Sends @answer to all waiters of @job. */
void ht_reply_all(struct ht_request_path *p, struct ht_job *job, const struct ht_answer *answer);
void ht_reply_refusal(struct ht_request_path *p, struct ht_job *job, uint8_t code,
		      enum ht_verdict verdict, ht_ms retry_after, const char *why);
void ht_reply_unavailable(struct ht_request_path *p, struct ht_job *job, const char *why);
void ht_reply_may_have_run(struct ht_request_path *p, struct ht_job *job, const char *why);
/** Answers all waiters from the ledger's answer, each with the block that it requested. */
void ht_reply_entry(struct ht_request_path *p, struct ht_job *job, const struct ht_entry *e);
/** Sends one answer to one ingress; @target is where it ran, or 0. */
void ht_reply_send(struct ht_request_path *p, const struct ht_stored_request *req, uint64_t target,
		   const struct ht_waiter *to, const struct ht_answer *answer);

/* router_ingress.c: requests at the ingress */
void ht_ingress_request(struct ht_request_path *p, uint64_t handle, const struct ht_request *req);
void ht_ingress_answer(struct ht_request_path *p, uint64_t id, const struct ht_answer *answer);
void ht_ingress_returned(struct ht_request_path *p, struct ht_pending *pend,
			 enum ht_return_reason reason);
void ht_ingress_peer_down(struct ht_request_path *p, uint64_t peer,
			  enum ht_peer_down_reason reason);
void ht_ingress_config_changed(struct ht_request_path *p);
void ht_pending_free(struct ht_request_path *p, struct ht_pending *pend);

/** Ids are unique in the instance; job ids and pending ids share one sequence. */
static inline uint64_t ht_path_id(struct ht_request_path *p)
{
	return ++p->next_id;
}

/** Id of a job's hop in Returned: its low bits are 7, those of an ingress the attempt's number. */
static inline uint64_t ht_hop_id(const struct ht_job *job)
{
	return job->id << 3 | 7;
}

/**
 * Time in ms after a home has changed or ended in which a refusal of an idempotent request says
 * that it may have run: the new home does not know of earlier copies. Covers the usual life of a
 * request.
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

/** Further waiters in one Forward; duplicates beyond them get a verdict at their deadline. */
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
/** Fills @f with the request; it points into @req, which must outlive it. */
void ht_forward_fill(struct ht_forward_frame *f, const struct ht_stored_request *req);

#endif
