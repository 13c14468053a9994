/* experiment.h -- a deployment and a load pattern, read from a file, and runs
   of it under several policies  */

#ifndef EXPERIMENT_H
#define EXPERIMENT_H

#include "emulator/emulator.h"

#define EXPERIMENT_STEPS_MAX 64

struct experiment;

/* Something that happens at a time of each run.  */
struct experiment_step
{
  uint64_t at_ms;
  void (*run) (struct em *em, const struct experiment_step *step);
  /* What it does to each of them, and how many there are; NULL: to none.  */
  size_t (*count) (const struct em *em);
  void (*each) (struct em *em, size_t index, uint64_t for_ms);
  double x; /* factor, or share of those that it befalls */
  uint64_t for_ms;
};

struct experiment
{
  struct em_settings settings;
  char *names;      /* owned; what the settings name */
  uint64_t warm_ms; /* outcomes count from then on */
  uint64_t end_ms;
  size_t step_count;
  struct experiment_step steps[EXPERIMENT_STEPS_MAX]; /* by time */
};

/* Reads an experiment from JSON TEXT.  BL_EFORMAT with findings, each with its
   place.  */
int experiment_read (struct experiment *out,
                     struct bl_str text,
                     struct bl_findings *findings);
void experiment_clear (struct experiment *experiment);

/* -- reports of runs, one for each policy -- */

struct experiment_result
{
  const char *policy;
  unsigned runs;
  double imbalance; /* busiest server over mean, by requests, mean of runs */
  struct em_totals totals;
};

/* Adds one run to RESULT.  */
void experiment_add (const struct experiment *experiment,
                     struct experiment_result *result,
                     const struct bl_balancing_policy *balancing_policy,
                     uint64_t seed);
void experiment_print (const struct experiment *experiment,
                       const struct experiment_result *results,
                       size_t count);
/* Writes the results as JSON to PATH.  Returns 0 or -1.  */
int experiment_save (const struct experiment *experiment,
                     const struct experiment_result *results,
                     size_t count,
                     const char *path);
/* Writes FOLDER/served.dat, FOLDER/times.dat and FOLDER/plot.gp, a script for
   gnuplot.  Returns 0 or -1.  */
int experiment_plot (const struct experiment *experiment,
                     const struct experiment_result *results,
                     size_t count,
                     const char *folder);

#endif
