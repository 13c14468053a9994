/* explain.c -- the command explain: why a flow ended, from the logs of several
   instances  */

#include "ctl/ctl.h"
#include "ctl/flow_trace.h"

#include <errno.h>
#include <string.h>

#define INSTANCE_NAME_MAX_BYTES 64 /* of an instance's name, with the null */

/* Writes a name for the instance that wrote the log PATH, for use until a line
   gives its id, into OUT of CAP bytes: the file name up to the first dot.  */
static void
get_instance_name (const char *path, char *out, size_t cap)
{
  const char *slash = strrchr (path, '/');
  const char *name = slash != NULL ? slash + 1 : path;

  snprintf (out, cap, "%.*s", (int)strcspn (name, "."), name);
}

/* Adds the log PATH, "-" for stdin; returns false if it cannot be opened.  */
static bool
read_log (struct flow_trace *trace, const char *path)
{
  FILE *in = strcmp (path, "-") == 0 ? stdin : fopen (path, "r");
  char instance[INSTANCE_NAME_MAX_BYTES];

  if (in == NULL)
    {
      fprintf (stderr, "%s: %s\n", path, strerror (errno));
      return false;
    }
  get_instance_name (path, instance, sizeof instance);
  flow_trace_read (trace, in, instance);
  if (in != stdin)
    fclose (in);
  return true;
}

enum ctl_exit
ctl_explain (const char *flow, const char *const *files)
{
  struct flow_trace *trace = flow_trace_new (flow);
  enum ctl_exit status = CTL_OK;

  if (trace == NULL)
    {
      fprintf (stderr,
               "flow: \"%s\" is not CALLER:PORT or "
               "CALLER:PORT-ADDRESS:PORT\n",
               flow);
      return CTL_USAGE;
    }
  for (size_t i = 0; files[i] != NULL; i++)
    if (!read_log (trace, files[i]))
      status = CTL_USAGE;
  if (status == CTL_OK && flow_trace_line_count (trace) == 0)
    {
      fprintf (stderr, "no line of these logs names the flow %s\n", flow);
      status = CTL_NOT_FOUND;
    }
  if (status == CTL_OK)
    flow_trace_print (trace, stdout);
  flow_trace_free (trace);
  return status;
}
