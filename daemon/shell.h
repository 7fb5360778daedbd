/* The shell around one core: connects it to sockets, timers, the platform and signals. */
#ifndef HT_DAEMON_SHELL_H
#define HT_DAEMON_SHELL_H

#include "daemon/caller.h"
#include "daemon/config_source.h"
#include "daemon/admin.h"
#include "daemon/log.h"
#include "daemon/peers.h"
#include "daemon/settings.h"
#include "daemon/target_pool.h"

/** All parts of one instance. */
struct ht_shell {
	struct ev_loop *loop;
	const struct ht_settings *settings;
	struct ht_core_params params;
	struct ht_core *core;
	struct ht_log log;
	struct ht_counters counters; /**< of the parts around the core */
	struct ht_caller *caller;
	struct ht_target_pool *targets;
	struct ht_peers *peers;
	struct ht_config_source *source;
	struct ht_admin *admin;
	struct ht_config *config; /**< that the caller side works by */
	bool stopping;

	struct ev_timer timer;
	ht_ms due;
	ht_ms advanced;
	struct ev_prepare prepare;
	struct ev_signal term, intr;
};

/** Opens everything; NULL with @err on failure. @settings must outlive the shell. */
struct ht_shell *ht_shell_new(struct ev_loop *loop, const struct ht_settings *settings,
			      const uint8_t key[HT_KEY_LEN], enum ht_level level,
			      struct ht_err *err);
void ht_shell_free(struct ht_shell *shell);

/** Runs until a planned stop has finished. */
void ht_shell_run(struct ht_shell *shell);

/** Pages of the admin address (daemon/status.c). */
extern const struct ht_admin_page ht_status_pages[];

#endif
