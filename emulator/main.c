/* main.c -- boragelatch-emulate: runs a load pattern under several balancing
   policies with several seeds, and compares them  */

#include "emulator/experiment.h"
#include "io/io.h"

#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define POLICIES_MAX   8 /* compared in one run of the program */
#define FILE_MAX_BYTES (1024 * 1024)
#define SEEDS_MAX      10000 /* runs of each policy */

struct flags
{
  char *policies;
  char *json;
  char *plots;
  int seeds;
  int first_seed;
};

static bool
read_file (const char *path, struct bl_str *out)
{
  FILE *in = fopen (path, "r");
  char *text = malloc (FILE_MAX_BYTES);
  size_t len;

  if (in == NULL || text == NULL)
    {
      perror (path);
      free (text);
      return false;
    }
  len = fread (text, 1, FILE_MAX_BYTES, in);
  fclose (in);
  *out = (struct bl_str){ text, len };
  return true;
}

/* Looks up the policies of the comma-separated names in TEXT.  Returns their
   number, or 0 if a name is unknown.  */
static size_t
read_policies (const char *text,
               const struct bl_balancing_policy **out,
               struct experiment_result *results)
{
  static char names[256];
  char *save = NULL;
  size_t n = 0;

  snprintf (names, sizeof names, "%s", text);
  for (char *name = strtok_r (names, ",", &save);
       name != NULL && n < POLICIES_MAX; name = strtok_r (NULL, ",", &save))
    {
      out[n] = bl_balancing_policy_find (bl_str_of (name));
      if (out[n] == NULL)
        {
          fprintf (stderr, "--policies: \"%s\" is not a policy\n", name);
          return 0;
        }
      results[n++].policy = name;
    }
  return n;
}

static void
show_progress (int finished_runs, int total_runs)
{
  if (!isatty (STDERR_FILENO))
    return;
  fprintf (stderr, "\r%d of %d runs", finished_runs, total_runs);
  if (finished_runs == total_runs)
    fputc ('\n', stderr);
}

static int
run_experiment (const struct experiment *experiment, const struct flags *flags)
{
  static struct experiment_result results[POLICIES_MAX];
  const struct bl_balancing_policy *balancing_policies[POLICIES_MAX];
  size_t count = read_policies (flags->policies, balancing_policies, results);
  int total_runs = flags->seeds * (int)count;
  int finished_runs = 0;

  if (count == 0)
    return 1;
  for (int s = 0; s < flags->seeds; s++)
    for (size_t i = 0; i < count; i++)
      {
        experiment_run_once (experiment, &results[i], balancing_policies[i],
                             (uint64_t)flags->first_seed + (uint64_t)s);
        show_progress (++finished_runs, total_runs);
      }
  experiment_print (experiment, results, count);
  if (flags->json != NULL
      && experiment_save (experiment, results, count, flags->json) != 0)
    {
      perror (flags->json);
      return 1;
    }
  if (flags->plots != NULL
      && experiment_plot (experiment, results, count, flags->plots) != 0)
    {
      perror (flags->plots);
      return 1;
    }
  return 0;
}

int
main (int argc, const char **argv)
{
  static struct bl_findings findings;
  struct flags flags = { .policies = "near_and_light,of_two,hash",
                         .seeds = 3,
                         .first_seed = 1 };
  const struct poptOption table[] = {
    { "policies", 0, POPT_ARG_STRING, &flags.policies, 0,
      "policies to compare: near_and_light, of_two, hash", "NAME,..." },
    { "seeds", 0, POPT_ARG_INT, &flags.seeds, 0,
      "number of runs of each policy", "N" },
    { "first-seed", 0, POPT_ARG_INT, &flags.first_seed, 0,
      "seed of the first run", "N" },
    { "json", 0, POPT_ARG_STRING, &flags.json, 0, "write results as JSON",
      "FILE" },
    { "plots", 0, POPT_ARG_STRING, &flags.plots, 0,
      "write data and a gnuplot script into an existing folder", "FOLDER" },
    POPT_AUTOHELP POPT_TABLEEND,
  };
  poptContext popt = poptGetContext (NULL, argc, argv, table, 0);
  struct experiment experiment;
  struct bl_str text;
  const char *path;
  int opt = poptGetNextOpt (popt);
  int status;

  path = poptGetArg (popt);
  if (opt < -1 || path == NULL || poptPeekArg (popt) != NULL || flags.seeds < 1
      || flags.seeds > SEEDS_MAX)
    {
      fprintf (stderr, "usage: boragelatch-emulate [FLAGS] FILE.json\n");
      return 1;
    }
  if (!read_file (path, &text))
    return 1;
  if (experiment_read (&experiment, text, &findings) != BL_OK)
    {
      io_print_findings (&findings);
      return 1;
    }
  status = run_experiment (&experiment, &flags);
  experiment_clear (&experiment);
  free ((char *)text.ptr);
  poptFreeContext (popt);
  return status;
}
