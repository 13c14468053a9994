/* store.h -- membership records, and those still to be sent to peers  */

#ifndef BL_STORE_H
#define BL_STORE_H

#include "boragelatch.h"

/* Records are distributed over buckets by their names; each bucket has a
   digest of its own.  */
#define BL_STORE_BUCKETS 256

struct bl_store;

struct bl_store *bl_store_new (void);
void bl_store_free (struct bl_store *store);

/* Stores RECORD if it replaces the version held; it is then an update to be
   sent TRANSMITS times.  Returns 1 if it was stored, 0 if the version held is
   the same or newer, or BL_ENOMEM.  */
int bl_store_put (struct bl_store *store,
                  const struct bl_record *record,
                  unsigned transmits);
const struct bl_record *bl_store_get (const struct bl_store *store,
                                      enum bl_instance_kind kind,
                                      const struct bl_name *id);
/* Returns RECORD as JSON, to be released with free(), or NULL if out of
   memory.  UNHEALTHY and ADOPTED are not included.  */
char *bl_record_format (const struct bl_record *record);
/* Parses the output of bl_record_format.  Returns BL_EFORMAT if a member is
   missing or out of range.  */
int bl_record_parse (struct bl_record *record, const char *text);
/* Returns true if a version with INCARNATION replaces RECORD and RECORD can
   replace that version by a greater incarnation.  */
bool bl_record_is_superseded (const struct bl_record *record,
                              uint64_t incarnation);
/* Returns the contribution of a record to a digest; 0 for NULL and for a record
   in state left or dead.  */
uint64_t bl_record_digest (const struct bl_record *record);
bool bl_store_has_updates (const struct bl_store *store);
/* Copies up to MAX updates, least often sent first, and counts each as sent
   once.  Returns their number.  */
size_t bl_store_take_updates (struct bl_store *store,
                              struct bl_record *out,
                              size_t max);
/* Returns the digest of all records that are neither left nor dead, which does
   not depend on their order; 0 if there are none.  */
uint64_t bl_store_digest (const struct bl_store *store);
/* Returns the digests of the BL_STORE_BUCKETS buckets.  */
const uint64_t *bl_store_bucket_digests (const struct bl_store *store);
/* Copies the records, including left and dead ones, of buckets whose digest
   differs from PEER_DIGESTS, and returns their number.  Copies complete buckets
   as long as they fit into MAX records, but at least one bucket, which is
   truncated if it does not fit.  Starts at FIRST_BUCKET and wraps around, so
   that concurrent pulls from different buckets return different records.  */
size_t bl_store_differing (const struct bl_store *store,
                           const uint64_t *peer_digests,
                           unsigned first_bucket,
                           struct bl_record *out,
                           size_t max);
size_t bl_store_count (const struct bl_store *store,
                       enum bl_instance_kind kind);
/* Returns a counter that is incremented for each version stored.  */
uint64_t bl_store_generation (const struct bl_store *store);
/* Calls VISIT for each record of KIND in order of insertion.  VISIT may call
   bl_store_put but not bl_store_expire.  */
void bl_store_each (struct bl_store *store,
                    enum bl_instance_kind kind,
                    void (*visit) (void *ctx, const struct bl_record *r),
                    void *ctx);
/* Removes records that became left or dead before BEFORE_MS, except updates
   still to be sent.  Returns their number.  */
size_t bl_store_expire (struct bl_store *store, uint64_t before_ms);
/* Sets the current time, which bl_store_put notes for bl_store_expire.  */
void bl_store_set_time (struct bl_store *store, uint64_t now_ms);

#endif
