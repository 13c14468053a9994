/* root.h -- the root object of the configuration on the platform  */

#ifndef BL_ROOT_H
#define BL_ROOT_H

#include "boragelatch.h"

#define BL_ROOT_PARTS         64 /* services are distributed by name */
#define BL_RECENT_CHANGES_MAX 32 /* accepted changes kept in the root */
#define BL_PART_KEY_MAX       48
#define BL_CHANGE_TEXT_MAX    160

#define BL_ROOT_KEY "config/root"

/* A reference to an immutable object in the platform's store that contains
   services.  */
struct bl_part
{
  char key[BL_PART_KEY_MAX]; /* hash of the content; empty: no services */
  uint64_t changed;          /* version of the latest change in the part */
};

/* An accepted change.  If the response to a write is lost, the presence of its
   id shows that the write took effect.  */
struct bl_change
{
  uint64_t version;
  struct bl_name id;
  struct bl_name by;             /* operator */
  char what[BL_CHANGE_TEXT_MAX]; /* summary */
};

/* The root object.  */
struct bl_root
{
  uint64_t version;
  uint32_t next_id; /* id of the next new service */
  struct bl_part parts[BL_ROOT_PARTS];
  size_t recent_count;
  struct bl_change recent[BL_RECENT_CHANGES_MAX]; /* oldest first */
};

/* Parses the JSON text of a root.  Returns BL_EFORMAT, and adds findings, if
   TEXT is not a valid root.  */
int bl_root_parse (struct bl_root *root,
                   struct bl_str text,
                   struct bl_findings *findings);
/* Returns the JSON text of a root, to be released with free(), or NULL if out
   of memory.  */
char *bl_root_format (const struct bl_root *root);
/* Returns the index of the part that contains a service.  */
unsigned bl_root_part_of (const struct bl_name *service);
/* Writes the key under which a part with this content is stored into KEY of
   BL_PART_KEY_MAX bytes.  */
void bl_part_key (char *key, struct bl_str content);
/* Adds a change; removes the oldest one if there are BL_RECENT_CHANGES_MAX
   already.  */
void bl_root_add_change (struct bl_root *root, const struct bl_change *change);
/* Returns the recent change with this id, or NULL.  */
const struct bl_change *bl_root_find_change (const struct bl_root *root,
                                             const struct bl_name *id);

/* Parses the JSON text of a part into a new array of COUNT services, to be
   released with bl_services_free.  Returns BL_EFORMAT, and adds findings, if
   TEXT is not a valid part, or BL_ENOMEM.  */
int bl_part_parse (struct bl_service ***out,
                   size_t *count,
                   struct bl_str text,
                   struct bl_findings *findings);
/* Returns the JSON text of a part, to be released with free(), or NULL if out
   of memory.  */
char *bl_part_format (struct bl_service *const *services, size_t count);
/* Frees an array of services and the services in it.  */
void bl_services_free (struct bl_service **services, size_t count);

#endif
