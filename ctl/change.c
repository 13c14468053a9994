/* change.c -- makes a change to the configuration

   The configuration is a root object that references immutable parts, each with
   some of the services.  A change reads the root and the parts, applies and
   validates the edits, writes the changed parts as new objects, and then writes
   the root on the condition that its version is still the one that was read.
   That conditional write is the acceptance of the change.  If the response to
   that write is lost, the same write is repeated; a conflict then is the effect
   of the lost write if the root that is in force contains the id of the change.

   A platform that was restored from an older copy may lack versions that the
   balancers have in force.  The relays write these again, so a change waits
   until the platform holds that version; no version is given out twice.

   If another change was accepted meanwhile, the edits are applied to the new
   root, unless one of the same services was changed; that is a conflict.  */

#include "core/root.h"
#include "ctl/ctl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define ATTEMPTS_MAX 20 /* of a repeated call, and of a whole change */

/* A change that is being made, over all attempts.  */
struct pending_change
{
  const struct ctl *ctl;
  struct io_kv *kv;
  struct bl_edit *edits; /* copies for this attempt */
  size_t edit_count;
  struct bl_change change; /* entry for the list of recent changes */
  struct bl_root root;     /* as read, then with the change */
  /* The keys of the parts before and after the change; empty for parts that it
     does not write.  */
  char replaced_keys[BL_ROOT_PARTS][BL_PART_KEY_MAX];
  char written_keys[BL_ROOT_PARTS][BL_PART_KEY_MAX];
  char *written_texts[BL_ROOT_PARTS]; /* owned */
  struct io_kv_position position;     /* of the root object; version 0: none */
  bool restored; /* the root was written in another era than it was read */
  struct bl_service_list list; /* services of the parts read */
  uint64_t base_version;       /* of the configuration that was read first */
  struct bl_findings findings;
};

/* -- reading -- */

static enum ctl_exit
report_unreachable (struct pending_change *p, const char *what)
{
  fprintf (stderr, "the platform at %s did not answer (%s); try again later\n",
           p->ctl->platform, what);
  return CTL_UNREACHABLE;
}

/* Reads the root object; if there is none, the root is empty.  The number of
   attempts is at most timeout_s + 1.  */
static enum ctl_exit
read_root (struct pending_change *p)
{
  struct io_object object = { .len = 0 };
  enum io_kv_result result = IO_KV_UNKNOWN;
  enum ctl_exit status = CTL_OK;

  for (unsigned i = 1; i <= ATTEMPTS_MAX; i++)
    {
      result = io_kv_get (p->kv, BL_ROOT_KEY, &object);
      if (result != IO_KV_UNKNOWN
          || i * 1000 > (unsigned)p->ctl->timeout_s * 1000)
        break;
      usleep (io_kv_backoff_ms (p->kv, i) * 1000);
    }
  p->position = (struct io_kv_position){ object.era, object.version };
  memset (&p->root, 0, sizeof p->root);
  if (result == IO_KV_NOT_FOUND)
    {
      p->root.next_id = 1;
      p->position.version = 0;
    }
  else if (result != IO_KV_OK)
    status = report_unreachable (p, "reading the root");
  else if (bl_root_parse (&p->root, (struct bl_str){ object.text, object.len },
                          &p->findings)
           != BL_OK)
    status = CTL_REFUSED;
  io_object_clear (&object);
  return status;
}

/* Reads a part and adds its services.  Sets MISSING if there is no such part:
   another change that was accepted after the root was read has deleted it.  */
static enum ctl_exit
read_part (struct pending_change *p, const struct bl_part *part, bool *missing)
{
  struct io_object object = { .len = 0 };
  struct bl_service **services = NULL;
  size_t count = 0;
  enum io_kv_result result = io_kv_get (p->kv, part->key, &object);
  int err = BL_OK;

  if (result == IO_KV_OK)
    err = bl_part_parse (&services, &count,
                         (struct bl_str){ object.text, object.len },
                         &p->findings);
  io_object_clear (&object);
  *missing = result == IO_KV_NOT_FOUND;
  if (*missing)
    return CTL_UNREACHABLE;
  if (result != IO_KV_OK)
    return report_unreachable (p, part->key);
  for (size_t i = 0; i < count; i++)
    bl_service_list_add (&p->list, services[i]);
  free (services);
  return err == BL_OK ? CTL_OK : CTL_REFUSED;
}

/* Returns whether the edits concern the services of PART.  */
static bool
must_read_part (const struct pending_change *p, unsigned part)
{
  for (size_t i = 0; i < p->edit_count; i++)
    /* A new service must not have the address of another one, so all parts are
       read for the comparison.  */
    if (p->edits[i].kind == BL_EDIT_CREATE
        || bl_root_part_of (&p->edits[i].service) == part)
      return true;
  return false;
}

static enum ctl_exit
read_services (struct pending_change *p, bool *missing)
{
  enum ctl_exit status = CTL_OK;

  bl_service_list_clear (&p->list);
  for (unsigned i = 0; i < BL_ROOT_PARTS && status == CTL_OK; i++)
    if (p->root.parts[i].key[0] != '\0' && must_read_part (p, i))
      status = read_part (p, &p->root.parts[i], missing);
  return status;
}

/* Reads the root and the services.  If a part is missing, the root is read
   again, which then references the part that replaced it.  */
static enum ctl_exit
read_configuration (struct pending_change *p)
{
  enum ctl_exit status = CTL_OK;
  bool missing = false;

  for (unsigned i = 1; i <= CTL_ROOT_READS_MAX; i++)
    {
      missing = false;
      status = read_root (p);
      if (status == CTL_OK)
        status = read_services (p, &missing);
      if (!missing)
        return status;
      usleep (io_kv_backoff_ms (p->kv, i) * 1000);
    }
  fprintf (stderr,
           "version %lu of the configuration references a part that does not "
           "exist; nothing was changed\n",
           p->root.version);
  return status;
}

/* Returns the version that the admin balancer has in force, or 0 if it does not
   answer.  */
static uint64_t
version_in_force (const struct pending_change *p)
{
  json_t *status = ctl_status (p->ctl->admin);
  json_int_t version = json_integer_value (json_object_get (status, "version"));

  json_decref (status);
  return version > 0 ? (uint64_t)version : 0;
}

/* Reads the configuration; while a balancer has a newer version in force, which
   a restore of the platform has lost, reads it again until the relays have
   written that version.  */
static enum ctl_exit
read_newest_configuration (struct pending_change *p)
{
  uint64_t in_force = version_in_force (p);
  uint64_t end_ms = io_now_ms () + (uint64_t)p->ctl->timeout_s * 1000;
  enum ctl_exit status = read_configuration (p);

  for (unsigned i = 1;
       status == CTL_OK && p->root.version < in_force && io_now_ms () < end_ms;
       i++)
    {
      usleep (io_kv_backoff_ms (p->kv, i) * 1000);
      status = read_configuration (p);
    }
  if (status != CTL_OK || p->root.version >= in_force)
    return status;
  fprintf (
      stderr,
      "the platform was restored from an older copy: it holds version %lu, "
      "and version %lu is in force; nothing was changed, try again later\n",
      p->root.version, in_force);
  return CTL_CONFLICT;
}

/* -- conflicts -- */

static void
print_conflict (const struct pending_change *p, const struct bl_service *s)
{
  const struct bl_change *other = NULL;

  for (size_t i = 0; i < p->root.recent_count; i++)
    if (p->root.recent[i].version == s->changed)
      other = &p->root.recent[i];
  fprintf (stderr, "conflict: service %s was changed meanwhile", s->name.s);
  if (other != NULL)
    fprintf (stderr, " by %s (change %s, version %lu: %s)", other->by.s,
             other->id.s, other->version, other->what);
  fprintf (stderr, "; look at it and try again\n");
}

/* Returns whether a service that this change edits was changed after this
   change began, and reports the other change.  */
static bool
has_conflict (const struct pending_change *p)
{
  for (size_t i = 0; i < p->edit_count; i++)
    {
      const struct bl_service *s
          = bl_service_list_find (&p->list, &p->edits[i].service);
      if (s == NULL || s->changed <= p->base_version)
        continue;
      print_conflict (p, s);
      return true;
    }
  return false;
}

/* -- writing -- */

/* Writes the text of part INDEX.  The key is a hash of the content, so a
   conflict means that an object with the same content exists already.  */
static enum ctl_exit
put_part (struct pending_change *p, unsigned index)
{
  const char *text = p->written_texts[index];
  struct io_kv_position position = { .version = 0 };
  const struct io_kv_position none = { .version = 0 };
  enum io_kv_result result = IO_KV_UNKNOWN;

  for (unsigned i = 1; i <= ATTEMPTS_MAX && result == IO_KV_UNKNOWN; i++)
    {
      result = io_kv_put (p->kv, p->written_keys[index], none, text,
                          strlen (text), &position);
      if (result == IO_KV_UNKNOWN)
        usleep (io_kv_backoff_ms (p->kv, i) * 1000);
    }
  if (result == IO_KV_REFUSED)
    {
      fprintf (stderr,
               "part %u of the configuration is too large for the platform\n",
               index);
      return CTL_REFUSED;
    }
  return result == IO_KV_UNKNOWN ? report_unreachable (p, "writing a part")
                                 : CTL_OK;
}

/* Writes part INDEX as a new object and references it in the root.  */
static enum ctl_exit
write_part (struct pending_change *p, unsigned index)
{
  struct bl_service_list part_services = { .count = 0 };
  struct bl_part *part = &p->root.parts[index];
  char *text;

  for (size_t i = 0; i < p->list.count; i++)
    if (bl_root_part_of (&p->list.items[i]->name) == index)
      bl_service_list_add (&part_services, p->list.items[i]);
  text = bl_part_format (part_services.items, part_services.count);
  free (part_services.items);
  memcpy (p->replaced_keys[index], part->key, BL_PART_KEY_MAX);
  bl_part_key (part->key, bl_str_of (text));
  memcpy (p->written_keys[index], part->key, BL_PART_KEY_MAX);
  part->changed = p->root.version;
  free (p->written_texts[index]);
  p->written_texts[index] = text;
  return put_part (p, index);
}

static void
free_written_texts (struct pending_change *p)
{
  for (size_t i = 0; i < BL_ROOT_PARTS; i++)
    {
      free (p->written_texts[i]);
      p->written_texts[i] = NULL;
    }
}

static enum ctl_exit
write_parts (struct pending_change *p)
{
  bool edited[BL_ROOT_PARTS] = { false };
  enum ctl_exit status = CTL_OK;

  for (size_t i = 0; i < p->edit_count; i++)
    edited[bl_root_part_of (&p->edits[i].service)] = true;
  for (unsigned i = 0; i < BL_ROOT_PARTS && status == CTL_OK; i++)
    if (edited[i])
      status = write_part (p, i);
  return status;
}

/* Handles a root that was written in another era than it was read: its parts
   may be lost, and it may have replaced a change that was not read.  */
static enum ctl_exit
settle_restored (struct pending_change *p)
{
  enum ctl_exit status = CTL_OK;

  p->restored = true;
  for (unsigned i = 0; i < BL_ROOT_PARTS && status == CTL_OK; i++)
    if (p->written_texts[i] != NULL)
      status = put_part (p, i);
  fprintf (stderr,
           "the platform was restored from an older copy while change %s was "
           "written; it may have replaced a change that was not read; look at: "
           "show changes\n",
           p->change.id.s);
  return status == CTL_OK ? CTL_CONFLICT : status;
}

/* Writes the root until the outcome is certain.  Returns CTL_CONFLICT if the
   root was changed by another change and does not contain this one.  */
static enum ctl_exit
write_root (struct pending_change *p)
{
  char *text = bl_root_format (&p->root);
  enum ctl_exit status = CTL_UNREACHABLE;
  const struct io_kv_position expected = p->position;
  struct io_kv_position position;

  for (unsigned i = 1; i <= ATTEMPTS_MAX; i++)
    {
      enum io_kv_result result = io_kv_put (p->kv, BL_ROOT_KEY, expected, text,
                                            strlen (text), &position);
      if (result == IO_KV_OK)
        {
          status = CTL_OK;
          break;
        }
      if (result == IO_KV_RESTORED)
        {
          status = settle_restored (p);
          break;
        }
      if (result == IO_KV_REFUSED)
        {
          fprintf (stderr,
                   "the platform at %s refuses the root; nothing was "
                   "changed\n",
                   p->ctl->platform);
          read_root (p);
          status = CTL_REFUSED;
          break;
        }
      if (result == IO_KV_CONFLICT)
        {
          /* The root may have been changed by an earlier attempt, the
             response to which was lost.  */
          status = read_root (p);
          if (status == CTL_OK
              && bl_root_find_change (&p->root, &p->change.id) == NULL)
            status = CTL_CONFLICT;
          break;
        }
      usleep (io_kv_backoff_ms (p->kv, i) * 1000);
    }
  free (text);
  if (status == CTL_UNREACHABLE)
    fprintf (stderr,
             "the outcome of change %s is not known: the platform did not "
             "answer; look for it with: show changes\n",
             p->change.id.s);
  return status;
}

/* -- deleting unreferenced parts -- */

/* Returns whether the root references the part KEY.  */
static bool
is_referenced (const struct bl_root *root, const char *key)
{
  for (size_t i = 0; i < BL_ROOT_PARTS; i++)
    if (strcmp (root->parts[i].key, key) == 0)
      return true;
  return false;
}

/* Deletes the parts KEYS that the root does not reference: those that this
   change replaced, or wrote before the write of the root failed.  Their content
   includes versions, so no later change can produce the same content and
   reference them again.  A relay that is still reading a deleted part finds it
   missing and reads the newer root.  If there is no response to a deletion, the
   part may remain, which does no harm.  */
static void
delete_unreferenced_parts (struct pending_change *p,
                           char keys[BL_ROOT_PARTS][BL_PART_KEY_MAX])
{
  for (size_t i = 0; i < BL_ROOT_PARTS; i++)
    {
      if (keys[i][0] != '\0' && !is_referenced (&p->root, keys[i]))
        io_kv_delete (p->kv, keys[i], IO_KV_ANY_VERSION);
      keys[i][0] = '\0';
    }
}

/* -- one change -- */

/* Reads the configuration and applies the edits to it.  FIRST is true in the
   first attempt of the change.  */
static enum ctl_exit
prepare_change (struct pending_change *p, bool first)
{
  enum ctl_exit status = read_newest_configuration (p);

  if (status != CTL_OK)
    return status;
  if (first)
    p->base_version = p->root.version;
  if (has_conflict (p))
    return CTL_CONFLICT;
  p->root.version++;
  p->change.version = p->root.version;
  if (bl_edits_apply (&p->list, p->edits, p->edit_count, p->root.version,
                      &p->root.next_id, &p->findings)
      != BL_OK)
    return CTL_REFUSED;
  bl_root_add_change (&p->root, &p->change);
  return CTL_OK;
}

static void
print_dry_run (const struct pending_change *p)
{
  printf ("would accept version %lu: %s\n", p->change.version, p->change.what);
  for (size_t i = 0; i < p->list.count; i++)
    {
      char *text;
      json_t *json;
      if (p->list.items[i]->changed != p->change.version)
        continue;
      json = bl_service_to_json (p->list.items[i]);
      text = json_dumps (json, JSON_INDENT (2));
      printf ("%s\n", text);
      free (text);
      json_decref (json);
    }
}

static void
print_accepted (const struct pending_change *p)
{
  if (p->ctl->json)
    printf ("{\"accepted\":%lu,\"change\":\"%s\"}\n", p->change.version,
            p->change.id.s);
  else
    printf ("accepted: version %lu, change %s: %s\n", p->change.version,
            p->change.id.s, p->change.what);
  fflush (stdout);
}

/* Makes one attempt of the change.  Sets RETRY if the root was changed by
   another change in the meantime, so that the edits must be applied again.  */
static enum ctl_exit
attempt_change (struct pending_change *p, bool first, bool *retry)
{
  enum ctl_exit status = prepare_change (p, first);

  *retry = false;
  if (status != CTL_OK)
    return status;
  if (p->ctl->dry_run)
    {
      print_dry_run (p);
      return CTL_OK;
    }
  status = write_parts (p);
  if (status == CTL_OK)
    status = write_root (p);
  *retry = status == CTL_CONFLICT && !p->restored;
  if (status == CTL_OK)
    {
      print_accepted (p);
      delete_unreferenced_parts (p, p->replaced_keys);
    }
  if ((status == CTL_CONFLICT && !p->restored) || status == CTL_REFUSED)
    delete_unreferenced_parts (p, p->written_keys);
  return status;
}

/* Copies edits.  Applying an edit that creates a service takes the service out
   of the edit, so each attempt needs a copy.  */
static void
copy_edits (struct bl_edit *to, const struct bl_edit *from, size_t count)
{
  memcpy (to, from, count * sizeof *to);
  for (size_t i = 0; i < count; i++)
    if (from[i].create != NULL)
      {
        struct bl_findings findings = { .count = 0 };
        json_t *json = bl_service_to_json (from[i].create);
        bl_service_from_json (&to[i].create, json, "copy", &findings);
        json_decref (json);
      }
}

static enum ctl_exit
make_change (struct pending_change *p, const struct bl_edit *edits)
{
  struct bl_edit copies[BL_EDITS_MAX];
  enum ctl_exit status = CTL_CONFLICT;
  bool retry = true;

  p->edits = copies;
  for (unsigned i = 1; retry && i <= ATTEMPTS_MAX; i++)
    {
      copy_edits (copies, edits, p->edit_count);
      status = attempt_change (p, i == 1, &retry);
      bl_edits_clear (copies, p->edit_count);
      if (retry)
        usleep (io_kv_backoff_ms (p->kv, i) * 1000);
    }
  if (retry)
    fprintf (stderr,
             "conflict: another change was accepted during every attempt\n");
  if (status == CTL_REFUSED)
    {
      io_print_findings (&p->findings);
      fprintf (stderr, "refused: nothing was changed\n");
    }
  bl_service_list_clear (&p->list);
  free_written_texts (p);
  return status;
}

/* Sets the id of the change, a random number, and the name of the operator.  */
static void
set_change_id (struct pending_change *p)
{
  struct bl_random r = { .state = io_wall_ms () * 1000 + (uint64_t)getpid () };
  char id[32];

  snprintf (id, sizeof id, "%016lx", bl_random_next (&r));
  bl_name_set (&p->change.id, bl_str_of (id));
  if (bl_name_set (&p->change.by, bl_str_of (p->ctl->by)) != BL_OK)
    bl_name_set (&p->change.by, bl_str_of ("unknown"));
}

enum ctl_exit
ctl_change (const struct ctl *ctl, struct bl_edit *edits, size_t count)
{
  struct pending_change *p = calloc (1, sizeof *p);
  enum ctl_exit status;
  uint64_t version;

  if (p == NULL)
    return CTL_UNREACHABLE;
  p->ctl = ctl;
  p->edit_count = count;
  set_change_id (p);
  bl_edits_summary (edits, count, p->change.what, sizeof p->change.what);
  p->kv = io_kv_new (ctl->platform, io_wall_ms ());
  status = make_change (p, edits);
  version = p->change.version;
  io_kv_free (p->kv);
  bl_edits_clear (edits, count);
  free (p);
  if (status == CTL_OK && ctl->wait && !ctl->dry_run)
    status = ctl_wait (ctl, version);
  return status;
}
