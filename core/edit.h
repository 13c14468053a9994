/* edit.h -- changes that operators make to services  */

#ifndef BL_EDIT_H
#define BL_EDIT_H

#include "boragelatch.h"

#define BL_EDITS_MAX 64 /* edits in a change */

enum bl_edit_kind
{
  BL_EDIT_CREATE,
  BL_EDIT_REMOVE,
  BL_EDIT_RULE,
};

/* A step of a change.  */
struct bl_edit
{
  enum bl_edit_kind kind;
  struct bl_name service;
  struct bl_service *create; /* owned; BL_EDIT_CREATE only */
  /* BL_EDIT_RULE only: the backend server or data centre that the rule is for,
     and the settings of the rule that are changed.  */
  struct bl_name target;
  bool target_is_dc;
  bool set_weight;
  bool set_rank;
  bool set_drain;
  uint16_t weight;
  uint8_t rank;
  bool drain;
};

/* A growing list, which owns its services.  */
struct bl_service_list
{
  size_t count;
  size_t cap;
  struct bl_service **items;
};

/* Appends SERVICE; returns BL_ENOMEM if out of memory.  */
int bl_service_list_add (struct bl_service_list *list,
                         struct bl_service *service);
struct bl_service *bl_service_list_find (const struct bl_service_list *list,
                                         const struct bl_name *name);
void bl_service_list_clear (struct bl_service_list *list);

/* Applies all edits to LIST, marks the services changed with VERSION, and
   increments NEXT_ID for each service created.  On errors adds findings with
   the index of the edit as their place and returns BL_EFORMAT; LIST is then
   changed in part and must be discarded.  */
int bl_edits_apply (struct bl_service_list *list,
                    struct bl_edit *edits,
                    size_t count,
                    uint64_t version,
                    uint32_t *next_id,
                    struct bl_findings *findings);
/* Frees the services that the edits own.  */
void bl_edits_clear (struct bl_edit *edits, size_t count);
/* Reads up to BL_EDITS_MAX edits from a JSON text.  Returns BL_EFORMAT, and
   adds findings, if TEXT is not a valid list of edits.  EDITS must be released
   with bl_edits_clear in any case.  */
int bl_edits_from_json (struct bl_edit *edits,
                        size_t *count,
                        struct bl_str text,
                        struct bl_findings *findings);
/* Writes a summary of a change for other operators, a single line, into BUF of
   CAP bytes.  */
void bl_edits_summary (const struct bl_edit *edits,
                       size_t count,
                       char *buf,
                       size_t cap);

#endif
