/* experiment.h -- a deployment and a load pattern, read from a file, and runs
   of it under several balancing policies  */

#ifndef EXPERIMENT_H
#define EXPERIMENT_H

#include "emulator/emulator.h"

#define EXPERIMENT_STEPS_MAX 64

struct experiment;

/* A change of load or a fault, at the same time of each run.  */
struct experiment_step
{
  uint64_t at_ms;
  void (*apply) (struct em *em, const struct experiment_step *step);
  /* The number of instances that the step can apply to, and the function that
     applies it to a single instance; NULL: APPLY selects the instances itself.
   */
  size_t (*target_count) (const struct em *em);
  void (*apply_to_target) (struct em *em, size_t index, uint64_t for_ms);
  double value;    /* factor of the load or of the time that requests run, share
                      of the instances, or state of the store */
  uint64_t for_ms; /* duration of the fault */
};

struct experiment
{
  struct em_settings settings;
  char *names;            /* owned; the strings that the settings point to */
  uint64_t count_from_ms; /* requests before this time are not counted */
  uint64_t end_ms;
  size_t step_count;
  struct experiment_step steps[EXPERIMENT_STEPS_MAX]; /* in order of time */
};

/* Reads an experiment from JSON TEXT.  Returns BL_OK, or BL_EFORMAT with one
   finding for each fault and its place.  */
int experiment_read (struct experiment *out,
                     struct bl_str text,
                     struct bl_findings *findings);
void experiment_clear (struct experiment *experiment);

/* -- reports of the runs of each policy -- */

struct experiment_result
{
  const char *policy;
  unsigned runs;
  double imbalance; /* requests of the busiest server over the mean of all
                       servers of the first service; mean of the runs */
  struct em_totals totals;
};

/* Runs the experiment once and adds the run to RESULT.  */
void experiment_run_once (const struct experiment *experiment,
                          struct experiment_result *result,
                          const struct bl_balancing_policy *balancing_policy,
                          uint64_t seed);
/* Prints the results as tables to standard output.  */
void experiment_print (const struct experiment *experiment,
                       const struct experiment_result *results,
                       size_t count);
/* Writes the results as JSON to the file PATH.  Returns 0, or -1 on failure. */
int experiment_save (const struct experiment *experiment,
                     const struct experiment_result *results,
                     size_t count,
                     const char *path);
/* Writes FOLDER/served.dat, FOLDER/times.dat and FOLDER/plot.gp, a script for
   gnuplot.  Returns 0, or -1 on failure.  */
int experiment_plot (const struct experiment *experiment,
                     const struct experiment_result *results,
                     size_t count,
                     const char *folder);

#endif
