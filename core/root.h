/* root.h -- the root object of the configuration on the platform  */

#ifndef BL_ROOT_H
#define BL_ROOT_H

#include "boragelatch.h"

#define BL_ROOT_PARTS         64 /* parts that services are spread over by name */
#define BL_RECENT_CHANGES_MAX 32 /* changes that the root remembers */
#define BL_PART_KEY_MAX       48
#define BL_CHANGE_TEXT_MAX    160

#define BL_ROOT_KEY "config/root"

/* An immutable object that holds services; named by its content.  */
struct bl_part
{
  char key[BL_PART_KEY_MAX]; /* empty: no services */
  uint64_t changed;          /* version of the latest change in it */
};

/* A change that was accepted.  Its id settles whether a write whose answer
   was lost took effect.  */
struct bl_change
{
  uint64_t version;
  struct bl_name id;
  struct bl_name by;
  char what[BL_CHANGE_TEXT_MAX];
};

struct bl_root
{
  uint64_t version;
  uint32_t next_id; /* of the next new service */
  struct bl_part parts[BL_ROOT_PARTS];
  size_t recent_count;
  struct bl_change recent[BL_RECENT_CHANGES_MAX]; /* oldest first */
};

/* BL_EFORMAT with findings when TEXT is not a root.  */
int bl_root_parse (struct bl_root *root,
                   struct bl_str text,
                   struct bl_findings *findings);
/* Free with free(); NULL when out of memory.  */
char *bl_root_format (const struct bl_root *root);
/* Which part a service belongs to.  */
unsigned bl_root_part_of (const struct bl_name *service);
/* The key under which a part with this content is stored.  */
void bl_part_key (char *key, struct bl_str content);
/* Adds a change, forgetting the oldest if need be.  */
void bl_root_add_change (struct bl_root *root, const struct bl_change *change);
/* The accepted change with this id, or NULL.  */
const struct bl_change *bl_root_find_change (const struct bl_root *root,
                                             const struct bl_name *id);

/* Reads the services of a part into a new array.  */
int bl_part_parse (struct bl_service ***out,
                   size_t *count,
                   struct bl_str text,
                   struct bl_findings *findings);
/* Free with free(); NULL when out of memory.  */
char *bl_part_format (struct bl_service *const *services, size_t count);
void bl_services_free (struct bl_service **services, size_t count);

#endif
