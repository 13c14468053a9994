/* store.h -- versioned records and which of them are still to be sent on  */

#ifndef BL_STORE_H
#define BL_STORE_H

#include "boragelatch.h"

#define BL_STORE_BUCKETS                                                       \
  256 /* parts of a store that are compared by digest                          \
       */

struct bl_store;

struct bl_store *bl_store_new (void);
void bl_store_free (struct bl_store *store);

/* Takes RECORD in if it replaces what is held; it is then sent on
   TRANSMITS times.  Returns 1 when taken, 0 when not news, BL_ENOMEM.  */
int bl_store_put (struct bl_store *store,
                  const struct bl_record *record,
                  unsigned transmits);
const struct bl_record *bl_store_get (const struct bl_store *store,
                                      enum bl_instance_kind kind,
                                      const struct bl_name *id);
/* RECORD as JSON; free with free().  NULL when out of memory.  */
char *bl_record_format (const struct bl_record *record);
/* Reads what bl_record_format wrote.  BL_EFORMAT.  */
int bl_record_parse (struct bl_record *record, const char *text);
/* Whether a record of INCARNATION, held elsewhere, would win over RECORD.
   False for one that cannot be outdone in turn.  */
bool bl_record_is_superseded (const struct bl_record *record,
                              uint64_t incarnation);
/* What a record adds to a digest; 0 for NULL and for a left or dead one.  */
uint64_t bl_record_digest (const struct bl_record *record);
bool bl_store_has_updates (const struct bl_store *store);
/* Copies up to MAX records that are still to be sent on, those sent least
   first, and counts each as sent once.  Returns how many.  */
size_t bl_store_take_updates (struct bl_store *store,
                              struct bl_record *out,
                              size_t max);
/* Order-independent digest of all live records; 0 for none.  */
uint64_t bl_store_digest (const struct bl_store *store);
/* The same for each of the BL_STORE_BUCKETS buckets.  */
const uint64_t *bl_store_bucket_digests (const struct bl_store *store);
/* Copies up to MAX records, left and dead ones too, of the buckets whose
   digest differs from THEIRS, whole buckets only, but at least one; returns
   how many.  Copies start at bucket FIRST and wrap round, so that two pulls
   at once bring different parts.  */
size_t bl_store_differing (const struct bl_store *store,
                           const uint64_t *theirs,
                           unsigned first,
                           struct bl_record *out,
                           size_t max);
size_t bl_store_count (const struct bl_store *store,
                       enum bl_instance_kind kind);
/* Counts upwards at each record taken in.  */
uint64_t bl_store_generation (const struct bl_store *store);
/* Calls VISIT for each record of KIND in order of insertion; VISIT may put
   records but not expire any.  */
void bl_store_each (struct bl_store *store,
                    enum bl_instance_kind kind,
                    void (*visit) (void *ctx, const struct bl_record *r),
                    void *ctx);
/* Forgets records that have been left or dead since before BEFORE_MS.
   Returns how many.  */
size_t bl_store_expire (struct bl_store *store, uint64_t before_ms);
/* Sets the time that records taken in from now on are stamped with.  */
void bl_store_set_time (struct bl_store *store, uint64_t now_ms);

#endif
