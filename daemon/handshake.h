/* Start of a link: Hello in both directions, then proof of the shared key over both nonces. */
#ifndef HT_DAEMON_HANDSHAKE_H
#define HT_DAEMON_HANDSHAKE_H

#include "core/core.h"
#include "daemon/settings.h"

#define HT_WIRE_VERSION 1
#define HT_NONCE_LEN 32
#define HT_MAC_LEN 32

/** What one side said in its Hello. */
struct ht_identity {
	struct ht_instance_info info;
	uint64_t incarnation;
	uint8_t nonce[HT_NONCE_LEN];
};

/** Fills @hello from @own; pointers in @hello refer to @own. */
void ht_hello_fill(Ht__Hello *hello, const struct ht_identity *own);

/**
 * Checks a received Hello and copies it to @out. Fails with HT_EVERSION when the wire version
 * differs and with HT_EINVAL for missing or overlong fields.
 */
bool ht_hello_read(const Ht__Hello *hello, struct ht_identity *out, struct ht_err *err);

/**
 * Proof that @sender knows the key. It covers the sender's identity besides both nonces, so that a
 * stranger cannot reflect an instance's own proof to it.
 */
void ht_proof_make(uint8_t mac[HT_MAC_LEN], const uint8_t key[HT_KEY_LEN],
		   const struct ht_identity *sender, const struct ht_identity *receiver);

bool ht_proof_check(const Ht__HelloProof *proof, const uint8_t key[HT_KEY_LEN],
		    const struct ht_identity *sender, const struct ht_identity *receiver);

#endif
