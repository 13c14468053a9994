/* explain.c -- why a flow ended, from the logs of many instances  */

#include "ctl/ctl.h"
#include "ctl/story.h"

#include <errno.h>
#include <string.h>

static const char *
base_name (const char *path)
{
  const char *slash = strrchr (path, '/');
  return slash != NULL ? slash + 1 : path;
}

static bool
read_file (struct story *story, const char *path)
{
  FILE *in = strcmp (path, "-") == 0 ? stdin : fopen (path, "r");

  if (in == NULL)
    {
      fprintf (stderr, "%s: %s\n", path, strerror (errno));
      return false;
    }
  story_read (story, in, base_name (path));
  if (in != stdin)
    fclose (in);
  return true;
}

enum ctl_exit
ctl_explain (const char *flow, const char *const *files)
{
  struct story *story = story_new (flow);
  enum ctl_exit status = CTL_OK;

  if (story == NULL)
    {
      fprintf (stderr,
               "flow: \"%s\" is not CALLER:PORT or "
               "CALLER:PORT-ADDRESS:PORT\n",
               flow);
      return CTL_USAGE;
    }
  for (size_t i = 0; files[i] != NULL; i++)
    if (!read_file (story, files[i]))
      status = CTL_USAGE;
  if (status == CTL_OK && story_size (story) == 0)
    {
      fprintf (stderr, "no line of these logs names the flow %s\n", flow);
      status = CTL_NOT_FOUND;
    }
  if (status == CTL_OK)
    story_print (story, stdout);
  story_free (story);
  return status;
}
