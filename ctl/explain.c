/* explain.c -- why a flow ended, from the logs of many instances  */

#include "ctl/ctl.h"
#include "ctl/story.h"

#include <errno.h>
#include <string.h>

#define INSTANCE_MAX 64 /* bytes of a name */

/* The instance whose log PATH is, unless the log tells: the file's name without
   its ending.  */
static void
instance_of (const char *path, char *out, size_t cap)
{
  const char *slash = strrchr (path, '/');
  const char *name = slash != NULL ? slash + 1 : path;

  snprintf (out, cap, "%.*s", (int)strcspn (name, "."), name);
}

static bool
read_file (struct flow_trace *flow_trace, const char *path)
{
  FILE *in = strcmp (path, "-") == 0 ? stdin : fopen (path, "r");
  char instance[INSTANCE_MAX];

  if (in == NULL)
    {
      fprintf (stderr, "%s: %s\n", path, strerror (errno));
      return false;
    }
  instance_of (path, instance, sizeof instance);
  flow_trace_read (flow_trace, in, instance);
  if (in != stdin)
    fclose (in);
  return true;
}

enum ctl_exit
ctl_explain (const char *flow, const char *const *files)
{
  struct flow_trace *flow_trace = flow_trace_new (flow);
  enum ctl_exit status = CTL_OK;

  if (flow_trace == NULL)
    {
      fprintf (stderr,
               "flow: \"%s\" is not CALLER:PORT or "
               "CALLER:PORT-ADDRESS:PORT\n",
               flow);
      return CTL_USAGE;
    }
  for (size_t i = 0; files[i] != NULL; i++)
    if (!read_file (flow_trace, files[i]))
      status = CTL_USAGE;
  if (status == CTL_OK && flow_trace_line_count (flow_trace) == 0)
    {
      fprintf (stderr, "no line of these logs names the flow %s\n", flow);
      status = CTL_NOT_FOUND;
    }
  if (status == CTL_OK)
    flow_trace_print (flow_trace, stdout);
  flow_trace_free (flow_trace);
  return status;
}
