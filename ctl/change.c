/* change.c -- makes a change to the configuration

   A change is read, applied and checked here, its parts are written as new
   immutable objects, and then the root is written under the condition of the
   version it was read at.  That write is the acceptance.  Its id in the root
   settles a write whose answer was lost: it is looked up, and only when it is
   not there is the same conditional write tried again.

   When the root moved on meanwhile, the change is applied anew, unless
   somebody changed one of the same services; that is a conflict.  */

#include "core/root.h"
#include "ctl/ctl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define ATTEMPTS_MAX 20

struct attempt
{
  const struct ctl *ctl;
  struct io_platform *platform;
  struct bl_edit *edits;
  size_t edit_count;
  struct bl_change change;
  struct bl_root root;
  char replaced[BL_ROOT_PARTS][BL_PART_KEY_MAX]; /* keys; empty: not touched */
  char written[BL_ROOT_PARTS][BL_PART_KEY_MAX];
  uint64_t root_object; /* version of the object; 0: there is none */
  struct bl_service_list list;
  uint64_t base; /* configuration version first seen */
  struct bl_findings findings;
};

/* -- reading -- */

static enum ctl_exit
unreachable (struct attempt *a, const char *what)
{
  fprintf (stderr, "the platform at %s did not answer (%s); try again later\n",
           a->ctl->platform, what);
  return CTL_UNREACHABLE;
}

static enum ctl_exit
read_root (struct attempt *a)
{
  struct io_object object = { .len = 0 };
  enum io_platform_result result = IO_PLATFORM_UNKNOWN;
  enum ctl_exit status = CTL_OK;

  for (unsigned i = 1; i <= ATTEMPTS_MAX; i++)
    {
      result = io_platform_get (a->platform, BL_ROOT_KEY, &object);
      if (result != IO_PLATFORM_UNKNOWN
          || i * 1000 > (unsigned)a->ctl->timeout_s * 1000)
        break;
      usleep (io_platform_backoff_ms (a->platform, i) * 1000);
    }
  a->root_object = object.version;
  memset (&a->root, 0, sizeof a->root);
  if (result == IO_PLATFORM_NOT_FOUND)
    {
      a->root.next_id = 1;
      a->root_object = 0;
    }
  else if (result != IO_PLATFORM_OK)
    status = unreachable (a, "reading the root");
  else if (bl_root_parse (&a->root, (struct bl_str){ object.text, object.len },
                          &a->findings)
           != BL_OK)
    status = CTL_REFUSED;
  io_object_clear (&object);
  return status;
}

static enum ctl_exit
read_part (struct attempt *a, const struct bl_part *part)
{
  struct io_object object = { .len = 0 };
  struct bl_service **services = NULL;
  size_t count = 0;
  enum io_platform_result result
      = io_platform_get (a->platform, part->key, &object);
  int err = BL_OK;

  if (result == IO_PLATFORM_OK)
    err = bl_part_parse (&services, &count,
                         (struct bl_str){ object.text, object.len },
                         &a->findings);
  io_object_clear (&object);
  if (result != IO_PLATFORM_OK)
    return unreachable (a, part->key);
  for (size_t i = 0; i < count; i++)
    bl_service_list_add (&a->list, services[i]);
  free (services);
  return err == BL_OK ? CTL_OK : CTL_REFUSED;
}

static bool
part_is_touched (const struct attempt *a, unsigned part)
{
  for (size_t i = 0; i < a->edit_count; i++)
    /* A new address must not be another service's, so all are looked at.  */
    if (a->edits[i].kind == BL_EDIT_CREATE
        || bl_root_part_of (&a->edits[i].service) == part)
      return true;
  return false;
}

static enum ctl_exit
read_services (struct attempt *a)
{
  enum ctl_exit status = CTL_OK;

  bl_service_list_clear (&a->list);
  for (unsigned i = 0; i < BL_ROOT_PARTS && status == CTL_OK; i++)
    if (a->root.parts[i].key[0] != '\0' && part_is_touched (a, i))
      status = read_part (a, &a->root.parts[i]);
  return status;
}

/* -- conflicts -- */

static void
print_conflict (const struct attempt *a, const struct bl_service *s)
{
  const struct bl_change *other = NULL;

  for (size_t i = 0; i < a->root.recent_count; i++)
    if (a->root.recent[i].version == s->changed)
      other = &a->root.recent[i];
  fprintf (stderr, "conflict: service %s was changed meanwhile", s->name.s);
  if (other != NULL)
    fprintf (stderr, " by %s (change %s, version %lu: %s)", other->by.s,
             other->id.s, other->version, other->what);
  fprintf (stderr, "; look at it and try again\n");
}

/* A service that both changes name was changed after this one began.  */
static bool
has_conflict (const struct attempt *a)
{
  for (size_t i = 0; i < a->edit_count; i++)
    {
      const struct bl_service *s
          = bl_service_list_find (&a->list, &a->edits[i].service);
      if (s == NULL || s->changed <= a->base)
        continue;
      print_conflict (a, s);
      return true;
    }
  return false;
}

/* -- writing -- */

static enum ctl_exit
write_part (struct attempt *a, unsigned index)
{
  struct bl_service_list of_part = { .count = 0 };
  struct bl_part *part = &a->root.parts[index];
  enum io_platform_result result = IO_PLATFORM_UNKNOWN;
  uint64_t version;
  char *text;

  for (size_t i = 0; i < a->list.count; i++)
    if (bl_root_part_of (&a->list.items[i]->name) == index)
      bl_service_list_add (&of_part, a->list.items[i]);
  text = bl_part_format (of_part.items, of_part.count);
  free (of_part.items);
  memcpy (a->replaced[index], part->key, BL_PART_KEY_MAX);
  bl_part_key (part->key, bl_str_of (text));
  memcpy (a->written[index], part->key, BL_PART_KEY_MAX);
  part->changed = a->root.version;
  /* The key is a hash of the content, so a part that is there already, from
     this change or another, is as good.  */
  for (unsigned i = 1; i <= ATTEMPTS_MAX && result == IO_PLATFORM_UNKNOWN; i++)
    {
      result = io_platform_put (a->platform, part->key, 0, text, strlen (text),
                                &version);
      if (result == IO_PLATFORM_UNKNOWN)
        usleep (io_platform_backoff_ms (a->platform, i) * 1000);
    }
  free (text);
  if (result == IO_PLATFORM_REFUSED)
    {
      fprintf (stderr, "part %u is larger than the platform takes\n", index);
      return CTL_REFUSED;
    }
  return result == IO_PLATFORM_UNKNOWN ? unreachable (a, "writing a part")
                                       : CTL_OK;
}

static enum ctl_exit
write_parts (struct attempt *a)
{
  bool touched[BL_ROOT_PARTS] = { false };
  enum ctl_exit status = CTL_OK;

  for (size_t i = 0; i < a->edit_count; i++)
    touched[bl_root_part_of (&a->edits[i].service)] = true;
  for (unsigned i = 0; i < BL_ROOT_PARTS && status == CTL_OK; i++)
    if (touched[i])
      status = write_part (a, i);
  return status;
}

/* Writes the root until the outcome is settled.  CTL_CONFLICT: it moved on,
   and this change is not in it.  */
static enum ctl_exit
write_root (struct attempt *a)
{
  char *text = bl_root_format (&a->root);
  enum ctl_exit status = CTL_UNREACHABLE;
  uint64_t expected = a->root_object;
  uint64_t version;

  for (unsigned i = 1; i <= ATTEMPTS_MAX; i++)
    {
      enum io_platform_result result = io_platform_put (
          a->platform, BL_ROOT_KEY, expected, text, strlen (text), &version);
      if (result == IO_PLATFORM_OK)
        {
          status = CTL_OK;
          break;
        }
      if (result == IO_PLATFORM_CONFLICT)
        {
          /* An earlier try whose answer was lost may be what moved it.  */
          status = read_root (a);
          if (status == CTL_OK
              && bl_root_find_change (&a->root, &a->change.id) == NULL)
            status = CTL_CONFLICT;
          break;
        }
      usleep (io_platform_backoff_ms (a->platform, i) * 1000);
    }
  free (text);
  if (status == CTL_UNREACHABLE)
    fprintf (stderr,
             "the outcome of change %s is not known: the platform did not "
             "answer; look for it with: show changes\n",
             a->change.id.s);
  return status;
}

/* -- collecting -- */

static bool
is_named (const struct bl_root *root, const char *key)
{
  for (size_t i = 0; i < BL_ROOT_PARTS; i++)
    if (strcmp (root->parts[i].key, key) == 0)
      return true;
  return false;
}

/* Deletes parts that the root does not name: those that this change replaced,
   or wrote in vain.  Their content holds versions, so it never comes back and
   nobody can come to need them again; a relay that still reads one finds it
   gone and reads the newer root.  What is not deleted for want of an answer
   stays, and does no harm.  */
static void
collect (struct attempt *a, char keys[BL_ROOT_PARTS][BL_PART_KEY_MAX])
{
  for (size_t i = 0; i < BL_ROOT_PARTS; i++)
    {
      if (keys[i][0] != '\0' && !is_named (&a->root, keys[i]))
        io_platform_delete (a->platform, keys[i], IO_ANY_VERSION);
      keys[i][0] = '\0';
    }
}

/* -- one change -- */

static enum ctl_exit
prepare (struct attempt *a, bool first)
{
  enum ctl_exit status = read_root (a);

  if (status == CTL_OK)
    status = read_services (a);
  if (status != CTL_OK)
    return status;
  if (first)
    a->base = a->root.version;
  if (has_conflict (a))
    return CTL_CONFLICT;
  a->root.version++;
  a->change.version = a->root.version;
  if (bl_edits_apply (&a->list, a->edits, a->edit_count, a->root.version,
                      &a->root.next_id, &a->findings)
      != BL_OK)
    return CTL_REFUSED;
  bl_root_add_change (&a->root, &a->change);
  return CTL_OK;
}

static void
print_dry_run (const struct attempt *a)
{
  printf ("would accept version %lu: %s\n", a->change.version, a->change.what);
  for (size_t i = 0; i < a->list.count; i++)
    {
      char *text;
      json_t *json;
      if (a->list.items[i]->changed != a->change.version)
        continue;
      json = bl_service_to_json (a->list.items[i]);
      text = json_dumps (json, JSON_INDENT (2));
      printf ("%s\n", text);
      free (text);
      json_decref (json);
    }
}

static void
print_accepted (const struct attempt *a)
{
  if (a->ctl->json)
    printf ("{\"accepted\":%lu,\"change\":\"%s\"}\n", a->change.version,
            a->change.id.s);
  else
    printf ("accepted: version %lu, change %s: %s\n", a->change.version,
            a->change.id.s, a->change.what);
  fflush (stdout);
}

/* CTL_CONFLICT without a message means: apply it anew.  */
static enum ctl_exit
try_once (struct attempt *a, bool first, bool *again)
{
  enum ctl_exit status = prepare (a, first);

  *again = false;
  if (status != CTL_OK)
    return status;
  if (a->ctl->dry_run)
    {
      print_dry_run (a);
      return CTL_OK;
    }
  status = write_parts (a);
  if (status == CTL_OK)
    status = write_root (a);
  *again = status == CTL_CONFLICT;
  if (status == CTL_OK)
    {
      print_accepted (a);
      collect (a, a->replaced);
    }
  if (status == CTL_CONFLICT)
    collect (a, a->written);
  return status;
}

/* Creating consumes the edit's service, so each try gets copies.  */
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
run (struct attempt *a, const struct bl_edit *edits)
{
  struct bl_edit copies[BL_EDITS_MAX];
  enum ctl_exit status = CTL_CONFLICT;
  bool again = true;

  a->edits = copies;
  for (unsigned i = 1; again && i <= ATTEMPTS_MAX; i++)
    {
      copy_edits (copies, edits, a->edit_count);
      status = try_once (a, i == 1, &again);
      bl_edits_clear (copies, a->edit_count);
      if (again)
        usleep (io_platform_backoff_ms (a->platform, i) * 1000);
    }
  if (again)
    fprintf (stderr, "conflict: the configuration keeps changing\n");
  if (status == CTL_REFUSED)
    {
      io_print_findings (&a->findings);
      fprintf (stderr, "refused: nothing was changed\n");
    }
  bl_service_list_clear (&a->list);
  return status;
}

static void
name_change (struct attempt *a)
{
  struct bl_random r = { .state = io_wall_ms () * 1000 + (uint64_t)getpid () };
  char id[32];

  snprintf (id, sizeof id, "%016lx", bl_random_next (&r));
  bl_name_set (&a->change.id, bl_str_of (id));
  if (bl_name_set (&a->change.by, bl_str_of (a->ctl->by)) != BL_OK)
    bl_name_set (&a->change.by, bl_str_of ("unknown"));
}

enum ctl_exit
ctl_change (const struct ctl *ctl, struct bl_edit *edits, size_t count)
{
  struct attempt *a = calloc (1, sizeof *a);
  enum ctl_exit status;
  uint64_t version;

  if (a == NULL)
    return CTL_UNREACHABLE;
  a->ctl = ctl;
  a->edit_count = count;
  name_change (a);
  bl_edits_summary (edits, count, a->change.what, sizeof a->change.what);
  a->platform = io_platform_new (ctl->platform, io_wall_ms ());
  status = run (a, edits);
  version = a->change.version;
  io_platform_free (a->platform);
  bl_edits_clear (edits, count);
  free (a);
  if (status == CTL_OK && ctl->wait && !ctl->dry_run)
    status = ctl_wait (ctl, version);
  return status;
}
