/* report.c -- results of an experiment as a table, as JSON and as plots  */

#include "emulator/experiment.h"

#include <jansson.h>
#include <math.h>
#include <stdio.h>

#define LATENCY_PLOT_POINTS 80 /* in a plot; shares up to 0.999 */
#define POINTS_PER_HALVING  8  /* of the share beyond the latency */

static const double percentiles[] = { 0.5, 0.99, 0.999 };

static double
ratio (uint64_t part, uint64_t all)
{
  return all > 0 ? (double)part / (double)all : 0;
}

/* The share of requests that were answered.  */
static double
served_share (const struct em_outcome *o)
{
  return ratio (o->in_time + o->late, o->requests);
}

/* The smallest share of requests answered in time in a second, leaving out the
   first second that is counted.  */
static double
worst_second (const struct experiment *e, const struct em_totals *t)
{
  double worst = 1;

  for (size_t s = e->count_from_ms / 1000 + 1; s < e->end_ms / 1000; s++)
    if (s < EM_SECONDS_MAX && t->seconds[s].requests > 0)
      {
        double share = ratio (t->seconds[s].in_time, t->seconds[s].requests);
        worst = share < worst ? share : worst;
      }
  return worst;
}

void
experiment_print (const struct experiment *experiment,
                  const struct experiment_result *results,
                  size_t count)
{
  printf ("%-16s %6s %8s %7s %7s %7s %7s %7s %6s %6s %7s %7s\n", "policy",
          "runs", "asked", "served", "in time", "worst s", "far", "busiest",
          "shed", "wasted", "refused", "free");
  for (size_t i = 0; i < count; i++)
    {
      const struct em_totals *t = &results[i].totals;
      struct em_outcome all = em_sum_classes (t);
      printf ("%-16s %6u %8lu %7.4f %7.4f %7.4f %7.3f %7.2f %6lu %6lu %7lu "
              "%7lu\n",
              results[i].policy, results[i].runs, all.requests,
              served_share (&all), ratio (all.in_time, all.requests),
              worst_second (experiment, t),
              ratio (t->far_packets, t->far_packets + t->near_packets),
              results[i].imbalance, t->shed, t->wasted, all.refused,
              t->refused_with_free_slot);
    }
  printf ("\n%-16s %-16s %8s %7s %7s %8s %8s %8s\n", "policy", "class", "asked",
          "served", "in time", "p50 ms", "p99 ms", "p99.9 ms");
  for (size_t i = 0; i < count; i++)
    for (size_t c = 0; c < experiment->settings.class_count; c++)
      {
        const struct em_outcome *o = &results[i].totals.classes[c];
        const struct em_latency_histogram *latencies
            = &results[i].totals.latencies[c];
        printf ("%-16s %-16s %8lu %7.4f %7.4f %8.1f %8.1f %8.1f\n",
                results[i].policy, experiment->settings.classes[c].name,
                o->requests, served_share (o), ratio (o->in_time, o->requests),
                em_percentile (latencies, percentiles[0]),
                em_percentile (latencies, percentiles[1]),
                em_percentile (latencies, percentiles[2]));
      }
}

static json_t *
class_json (const struct experiment *e, const struct em_totals *t, size_t c)
{
  const struct em_outcome *o = &t->classes[c];

  return json_pack (
      "{s:s, s:I, s:I, s:I, s:I, s:I, s:f, s:f, s:f}", "class",
      e->settings.classes[c].name, "asked", (json_int_t)o->requests, "in_time",
      (json_int_t)o->in_time, "late", (json_int_t)o->late, "failed",
      (json_int_t)o->failed, "refused", (json_int_t)o->refused, "p50_ms",
      em_percentile (&t->latencies[c], percentiles[0]), "p99_ms",
      em_percentile (&t->latencies[c], percentiles[1]), "p999_ms",
      em_percentile (&t->latencies[c], percentiles[2]));
}

static json_t *
result_json (const struct experiment *e, const struct experiment_result *r)
{
  const struct em_totals *t = &r->totals;
  json_t *classes = json_array ();

  for (size_t c = 0; c < e->settings.class_count; c++)
    json_array_append_new (classes, class_json (e, t, c));
  return json_pack (
      "{s:s, s:i, s:f, s:f, s:f, s:I, s:I, s:I, s:I, s:I, s:o}", "policy",
      r->policy, "runs", (int)r->runs, "busiest_over_mean", r->imbalance,
      "far_share", ratio (t->far_packets, t->far_packets + t->near_packets),
      "worst_second", worst_second (e, t), "shed", (json_int_t)t->shed,
      "wasted", (json_int_t)t->wasted, "refused_with_free_slots",
      (json_int_t)t->refused_with_free_slot, "broken", (json_int_t)t->broken,
      "twice", (json_int_t)t->duplicate_runs, "classes", classes);
}

int
experiment_save (const struct experiment *experiment,
                 const struct experiment_result *results,
                 size_t count,
                 const char *path)
{
  json_t *list = json_array ();
  int err;

  for (size_t i = 0; i < count; i++)
    json_array_append_new (list, result_json (experiment, &results[i]));
  err = json_dump_file (list, path, JSON_INDENT (1) | JSON_REAL_PRECISION (6));
  json_decref (list);
  return err;
}

/* -- plots -- */

static FILE *
open_in (const char *folder, const char *name)
{
  char path[512];

  snprintf (path, sizeof path, "%s/%s", folder, name);
  return fopen (path, "w");
}

/* Writes a line for each second with the share answered in time under each
   policy.  */
static int
write_served (const struct experiment *e,
              const struct experiment_result *results,
              size_t count,
              const char *folder)
{
  FILE *out = open_in (folder, "served.dat");

  if (out == NULL)
    return -1;
  for (size_t s = e->count_from_ms / 1000; s < e->end_ms / 1000; s++)
    {
      if (s >= EM_SECONDS_MAX)
        break;
      fprintf (out, "%zu", s);
      for (size_t i = 0; i < count; i++)
        {
          const struct em_outcome *o = &results[i].totals.seconds[s];
          fprintf (out, " %.4f", ratio (o->in_time, o->requests));
        }
      fputc ('\n', out);
    }
  return fclose (out);
}

/* Writes a line for each share with the time within which that share of the
   requests of the first class was answered, under each policy.  */
static int
write_latencies (const struct experiment_result *results,
                 size_t count,
                 const char *folder)
{
  FILE *out = open_in (folder, "times.dat");

  if (out == NULL)
    return -1;
  for (unsigned i = 1; i < LATENCY_PLOT_POINTS; i++)
    {
      /* Points grow denser towards the share 1.  */
      double p = 1 - exp2 (-(double)i / POINTS_PER_HALVING);
      fprintf (out, "%.5f", p);
      for (size_t r = 0; r < count; r++)
        fprintf (out, " %.2f",
                 em_percentile (&results[r].totals.latencies[0], p));
      fputc ('\n', out);
    }
  return fclose (out);
}

static void
write_plot (FILE *out,
            const struct experiment_result *results,
            size_t count,
            const char *name)
{
  fprintf (out, "set output '%s.png'\nplot", name);
  for (size_t i = 0; i < count; i++)
    fprintf (out, "%s '%s.dat' using 1:%zu with lines title '%s' noenhanced",
             i > 0 ? "," : "", name, i + 2, results[i].policy);
  fprintf (out, "\n");
}

int
experiment_plot (const struct experiment *experiment,
                 const struct experiment_result *results,
                 size_t count,
                 const char *folder)
{
  FILE *out = open_in (folder, "plot.gp");

  if (out == NULL || write_served (experiment, results, count, folder) != 0
      || write_latencies (results, count, folder) != 0)
    return -1;
  fprintf (out, "set terminal png size 900,500\nset key bottom\n"
                "set xlabel 'second'\nset ylabel 'answered in time'\n"
                "set yrange [0:1.02]\n");
  write_plot (out, results, count, "served");
  fprintf (out,
           "set xlabel 'share of %s'\nset ylabel 'ms'\n"
           "set autoscale y\nset logscale y\n",
           experiment->settings.classes[0].name);
  write_plot (out, results, count, "times");
  return fclose (out);
}
