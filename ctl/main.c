/* main.c -- boragelatchctl: flags, and the parsing of commands

   Each command has an entry in a table and a function that checks its arguments
   and calls the function of ctl.h that does the work.  */

#include "ctl/ctl.h"

#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FILE_MAX_BYTES (1024 * 1024) /* further bytes are ignored */
#define LISTEN_HELP    "PORT:CLASS[:PRIORITY[:RESERVED]]"

/* The values of the flags.  Most flags apply to some of the commands only.  */
struct flags
{
  struct ctl ctl;
  char *address; /* of a new service */
  char *backend; /* backend server that a rule applies to; NULL: not given */
  char *dc;      /* data centre that a rule applies to; NULL: not given */
  char *refusal; /* of a new service; NULL: not given */
  int idle_s;    /* of a new service */
  size_t listen_count;
  char *listen[BL_LISTENERS_MAX]; /* each in the format of LISTEN_HELP */
};

struct command
{
  const char *name;
  const char *arguments;
  const char *help;
  int argument_count; /* negative: a minimum, made by AT_LEAST */
  enum ctl_exit (*run) (struct flags *flags, const char **args);
};

enum
{
  OPT_LISTEN = 1,
};

/* -- changes -- */

static enum ctl_exit
report_refusal (const struct bl_findings *findings)
{
  io_print_findings (findings);
  fprintf (stderr, "refused: nothing was changed\n");
  return CTL_REFUSED;
}

/* Converts a value of --listen to the JSON of a listener.  Missing parts get
   values that the validation of the service refuses, or 0 if optional.  */
static json_t *
listener_to_json (const char *text, const char *refusal)
{
  char class_name[64] = "";
  int port = -1;
  int priority = 0;
  int reserved = 0;
  json_t *json;

  sscanf (text, "%d:%63[^:]:%d:%d", &port, class_name, &priority, &reserved);
  json = json_pack ("{s:i, s:s, s:i, s:i}", "port", port, "class", class_name,
                    "priority", priority, "reserved", reserved);
  if (refusal != NULL)
    json_object_set_new (json, "refusal", json_string (refusal));
  return json;
}

static enum ctl_exit
run_create (struct flags *flags, const char **args)
{
  struct bl_findings findings = { .count = 0 };
  struct bl_edit edit = { .kind = BL_EDIT_CREATE };
  json_t *listeners = json_array ();
  json_t *json;

  for (size_t i = 0; i < flags->listen_count; i++)
    json_array_append_new (listeners,
                           listener_to_json (flags->listen[i], flags->refusal));
  json = json_pack ("{s:i, s:s, s:s, s:i, s:o}", "id", 0, "name", args[0],
                    "address", flags->address ? flags->address : "", "idle_s",
                    flags->idle_s, "listeners", listeners);
  bl_service_from_json (&edit.create, json, args[0], &findings);
  json_decref (json);
  if (findings.count > 0)
    return report_refusal (&findings);
  edit.service = edit.create->name;
  return ctl_change (&flags->ctl, &edit, 1);
}

static enum ctl_exit
run_remove (struct flags *flags, const char **args)
{
  struct bl_findings findings = { .count = 0 };
  struct bl_edit edit = { .kind = BL_EDIT_REMOVE };

  if (bl_name_set (&edit.service, bl_str_of (args[0])) != BL_OK)
    bl_findings_add (&findings, "remove", "\"%s\" is not a name", args[0]);
  if (findings.count > 0)
    return report_refusal (&findings);
  return ctl_change (&flags->ctl, &edit, 1);
}

/* Sets EDIT to a rule for SERVICE and the target that the flags select.  */
static void
read_target (const struct flags *flags,
             struct bl_edit *edit,
             const char *service,
             struct bl_findings *findings)
{
  const char *target = flags->dc != NULL ? flags->dc : flags->backend;

  edit->kind = BL_EDIT_RULE;
  edit->target_is_dc = flags->dc != NULL;
  if (bl_name_set (&edit->service, bl_str_of (service)) != BL_OK)
    bl_findings_add (findings, "service", "\"%s\" is not a name", service);
  if ((flags->dc != NULL) == (flags->backend != NULL))
    bl_findings_add (findings, "--backend, --dc", "give one of them");
  else if (bl_name_set (&edit->target, bl_str_of (target)) != BL_OK)
    bl_findings_add (findings, "target", "\"%s\" is not a name", target);
}

/* Returns TEXT as a number; adds a finding if it is not a number up to MAX.  */
static unsigned long
parse_number (const char *text,
              unsigned long max,
              const char *place,
              struct bl_findings *findings)
{
  char *end;
  unsigned long value = strtoul (text, &end, 10);

  if (*text < '0' || *text > '9' || *end != '\0' || value > max)
    bl_findings_add (findings, place,
                     "must be a whole number from 0 to %lu, not \"%s\"", max,
                     text);
  return value;
}

static enum ctl_exit
run_weigh (struct flags *flags, const char **args)
{
  struct bl_findings findings = { .count = 0 };
  struct bl_edit edit = { .set_weight = true };

  read_target (flags, &edit, args[0], &findings);
  edit.weight
      = (uint16_t)parse_number (args[1], BL_WEIGHT_MAX, "weight", &findings);
  if (findings.count > 0)
    return report_refusal (&findings);
  return ctl_change (&flags->ctl, &edit, 1);
}

static enum ctl_exit
run_rank (struct flags *flags, const char **args)
{
  struct bl_findings findings = { .count = 0 };
  struct bl_edit edit = { .set_rank = true };

  read_target (flags, &edit, args[0], &findings);
  edit.rank = (uint8_t)parse_number (args[1], UINT8_MAX, "rank", &findings);
  if (findings.count > 0)
    return report_refusal (&findings);
  return ctl_change (&flags->ctl, &edit, 1);
}

static enum ctl_exit
set_drain (struct flags *flags, const char **args, bool drain)
{
  struct bl_findings findings = { .count = 0 };
  struct bl_edit edit = { .set_drain = true, .drain = drain };

  read_target (flags, &edit, args[0], &findings);
  if (findings.count > 0)
    return report_refusal (&findings);
  return ctl_change (&flags->ctl, &edit, 1);
}

static enum ctl_exit
run_drain (struct flags *flags, const char **args)
{
  return set_drain (flags, args, true);
}

static enum ctl_exit
run_undrain (struct flags *flags, const char **args)
{
  return set_drain (flags, args, false);
}

/* Returns the content of the file PATH, "-" for stdin, to be released with
   free(); NULL if it cannot be opened.  */
static char *
read_file (const char *path, size_t *len)
{
  FILE *f = strcmp (path, "-") == 0 ? stdin : fopen (path, "r");
  char *text;

  if (f == NULL)
    return NULL;
  text = malloc (FILE_MAX_BYTES + 1);
  *len = text != NULL ? fread (text, 1, FILE_MAX_BYTES, f) : 0;
  if (f != stdin)
    fclose (f);
  return text;
}

static enum ctl_exit
run_apply (struct flags *flags, const char **args)
{
  struct bl_findings findings = { .count = 0 };
  struct bl_edit edits[BL_EDITS_MAX];
  size_t count = 0;
  size_t len = 0;
  char *text = read_file (args[0], &len);

  if (text == NULL)
    {
      fprintf (stderr, "apply: cannot read %s\n", args[0]);
      return CTL_USAGE;
    }
  bl_edits_from_json (edits, &count, (struct bl_str){ text, len }, &findings);
  free (text);
  if (findings.count == 0)
    return ctl_change (&flags->ctl, edits, count);
  bl_edits_clear (edits, count);
  return report_refusal (&findings);
}

/* -- queries -- */

static enum ctl_exit
run_show (struct flags *flags, const char **args)
{
  return ctl_show (&flags->ctl, args[0]);
}

static enum ctl_exit
run_wait (struct flags *flags, const char **args)
{
  return ctl_wait (&flags->ctl, strtoul (args[0], NULL, 10));
}

static enum ctl_exit
run_routes (struct flags *flags, const char **args)
{
  struct bl_str text;
  enum ctl_exit status;

  if (flags->ctl.store[0] == '\0')
    {
      fprintf (stderr, "--store: must be given\n");
      return CTL_USAGE;
    }
  text.ptr = read_file (args[0], &text.len);
  if (text.ptr == NULL)
    {
      fprintf (stderr, "routes: cannot read %s\n", args[0]);
      return CTL_USAGE;
    }
  status = ctl_store_replace_routes (&flags->ctl, text);
  free ((char *)text.ptr);
  return status;
}

static enum ctl_exit
run_explain (struct flags *flags, const char **args)
{
  (void)flags;
  return ctl_explain (args[0], args + 1);
}

static enum ctl_exit run_help (struct flags *flags, const char **args);
static enum ctl_exit run_words (struct flags *flags, const char **args);

#define AT_LEAST(count) (-(count)-1) /* argument_count: COUNT or more */

static const struct command commands[] = {
  { "show", "services|backends|balancers|flows|changes|routes",
    "what is in force and where", 1, run_show },
  { "create", "SERVICE --address IP --listen " LISTEN_HELP "...",
    "creates a service", 1, run_create },
  { "remove", "SERVICE", "removes a service", 1, run_remove },
  { "weigh", "SERVICE --backend ID|--dc DC WEIGHT",
    "sets a share of new flows, 0 to 1000 (100 is usual)", 2, run_weigh },
  { "rank", "SERVICE --backend ID|--dc DC RANK",
    "sets a rank; the lowest that is ready gets new flows", 2, run_rank },
  { "drain", "SERVICE --backend ID|--dc DC",
    "lets flows end and gives no new ones", 1, run_drain },
  { "undrain", "SERVICE --backend ID|--dc DC", "ends a drain", 1, run_undrain },
  { "apply", "FILE|-", "makes a change of several edits, whole or not at all",
    1, run_apply },
  { "routes", "FILE|-", "puts all routes, of a newer version, into --store", 1,
    run_routes },
  { "wait", "VERSION", "waits until a version is in force everywhere", 1,
    run_wait },
  { "explain", "CALLER:PORT[-ADDRESS:PORT] FILE|-...",
    "tells from the logs of instances what became of a flow", AT_LEAST (2),
    run_explain },
  { "help", "COMMAND", "says what a command does", 1, run_help },
  { "words", "", "lists the commands, for completion in a shell", 0,
    run_words },
};

#define COMMAND_COUNT (sizeof commands / sizeof commands[0])

static const struct command *
find_command (const char *name)
{
  for (size_t i = 0; i < COMMAND_COUNT; i++)
    if (strcmp (commands[i].name, name) == 0)
      return &commands[i];
  fprintf (stderr, "\"%s\" is not a command\n", name);
  return NULL;
}

static void
print_command (FILE *out, const struct command *c)
{
  fprintf (out, "usage: boragelatchctl %s %s\n  %s\n", c->name, c->arguments,
           c->help);
}

static enum ctl_exit
run_help (struct flags *flags, const char **args)
{
  const struct command *c = find_command (args[0]);

  (void)flags;
  if (c == NULL)
    return CTL_USAGE;
  print_command (stdout, c);
  return CTL_OK;
}

static enum ctl_exit
run_words (struct flags *flags, const char **args)
{
  (void)flags;
  (void)args;
  for (size_t i = 0; i < COMMAND_COUNT; i++)
    printf ("%s\n", commands[i].name);
  return CTL_OK;
}

static void
print_commands (FILE *out)
{
  fprintf (out, "usage: boragelatchctl [FLAGS] COMMAND [ARGUMENTS]\n\n");
  for (size_t i = 0; i < COMMAND_COUNT; i++)
    fprintf (out, "  %s %s\n      %s\n", commands[i].name,
             commands[i].arguments, commands[i].help);
  fprintf (out, "\nexit status: 0 done, 1 usage, 2 refused, 3 conflict,\n"
                "  4 no answer, 5 accepted but not in force in time\n"
                "--help lists the flags\n");
}

/* Runs the command of ARGS, the arguments that are not flags; NULL if none.  */
static enum ctl_exit
run_command (struct flags *flags, const char **args)
{
  const struct command *c;
  int count = 0;

  while (args != NULL && args[count] != NULL)
    count++;
  if (count == 0)
    {
      print_commands (stderr);
      return CTL_USAGE;
    }
  c = find_command (args[0]);
  if (c == NULL)
    {
      print_commands (stderr);
      return CTL_USAGE;
    }
  if (count - 1 == c->argument_count
      || (c->argument_count < 0 && count >= -c->argument_count))
    return c->run (flags, args + 1);
  print_command (stderr, c);
  return CTL_USAGE;
}

/* Returns a copy of an environment variable, or of FALLBACK if it is unset.  */
static char *
getenv_or (const char *name, const char *fallback)
{
  const char *text = getenv (name);
  return strdup (text != NULL ? text : fallback);
}

/* Adds a value of --listen; values beyond the maximum are ignored.  */
static void
add_listen (struct flags *flags, char *text)
{
  if (flags->listen_count < BL_LISTENERS_MAX)
    flags->listen[flags->listen_count++] = text;
}

int
main (int argc, const char **argv)
{
  struct flags f = { .idle_s = 60, .ctl.timeout_s = 10 };
  char *listen = NULL;
  struct poptOption table[] = {
    { "platform", 0, POPT_ARG_STRING, &f.ctl.platform, 0,
      "object API with the configuration (BORAGELATCH_PLATFORM)", "URL" },
    { "store", 0, POPT_ARG_STRING, &f.ctl.store, 0,
      "object store of the users' platform (BORAGELATCH_STORE)", "IP:PORT" },
    { "admin", 0, POPT_ARG_STRING, &f.ctl.admin, 0,
      "admin interface of any balancer (BORAGELATCH_ADMIN)", "IP:PORT" },
    { "by", 0, POPT_ARG_STRING, &f.ctl.by, 0,
      "operator, recorded with a change (BORAGELATCH_OPERATOR)", "NAME" },
    { "json", 0, POPT_ARG_NONE, &f.ctl.json, 0, "print JSON", NULL },
    { "wait", 0, POPT_ARG_NONE, &f.ctl.wait, 0,
      "return when the change is in force everywhere", NULL },
    { "dry-run", 0, POPT_ARG_NONE, &f.ctl.dry_run, 0,
      "show what would change; write nothing", NULL },
    { "timeout-s", 0, POPT_ARG_INT, &f.ctl.timeout_s, 0,
      "limit on the wait for a change to be in force", "S" },
    { "address", 0, POPT_ARG_STRING, &f.address, 0, "address of a new service",
      "IP" },
    { "listen", 0, POPT_ARG_STRING, &listen, OPT_LISTEN,
      "a port of a new service", LISTEN_HELP },
    { "refusal", 0, POPT_ARG_STRING, &f.refusal, 0,
      "text sent to callers that are refused", "TEXT" },
    { "idle-s", 0, POPT_ARG_INT, &f.idle_s, 0,
      "idle time after which a flow is probed", "S" },
    { "backend", 0, POPT_ARG_STRING, &f.backend, 0, "backend server", "ID" },
    { "dc", 0, POPT_ARG_STRING, &f.dc, 0, "data centre", "DC" },
    POPT_AUTOHELP POPT_TABLEEND,
  };
  poptContext popt = poptGetContext (NULL, argc, argv, table, 0);
  enum ctl_exit status;
  int opt;

  while ((opt = poptGetNextOpt (popt)) > 0)
    add_listen (&f, listen);
  if (opt < -1)
    {
      fprintf (stderr, "%s: %s\n", poptBadOption (popt, 0), poptStrerror (opt));
      return CTL_USAGE;
    }
  if (f.ctl.platform == NULL)
    f.ctl.platform
        = getenv_or ("BORAGELATCH_PLATFORM", "http://127.0.0.1:8500");
  if (f.ctl.store == NULL)
    f.ctl.store = getenv_or ("BORAGELATCH_STORE", "");
  if (f.ctl.admin == NULL)
    f.ctl.admin = getenv_or ("BORAGELATCH_ADMIN", "127.0.0.1:8400");
  if (f.ctl.by == NULL)
    f.ctl.by = getenv_or ("BORAGELATCH_OPERATOR", "operator");
  status = run_command (&f, poptGetArgs (popt));
  poptFreeContext (popt);
  return (int)status;
}
