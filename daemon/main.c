/* main.c -- boragelatchd: a balancer or an agent, by its settings  */

#include "daemon/daemon.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>

#define EXIT_BAD_SETTINGS 2

static volatile sig_atomic_t stopping;
static volatile sig_atomic_t reloading;

static void
on_signal (int sig)
{
  if (sig == SIGHUP)
    reloading = 1;
  else
    stopping = 1;
}

void
daemon_lock (void *role)
{
  pthread_mutex_lock (&((struct daemon_lock *)role)->mutex);
}

void
daemon_unlock (void *role)
{
  pthread_mutex_unlock (&((struct daemon_lock *)role)->mutex);
}

bool
daemon_stop_requested (void)
{
  return stopping != 0;
}

bool
daemon_take_reload_request (void)
{
  bool now = reloading != 0;

  reloading = 0;
  return now;
}

int
daemon_open_udp (struct io_loop *loop,
                 struct io_source *source,
                 uint32_t ip,
                 unsigned long port,
                 void (*ready) (struct io_source *source, uint32_t events))
{
  struct bl_addr addr = { ip, (uint16_t)port };

  *source = (struct io_source){
    .fd = io_udp_open (&addr),
    .events = EPOLLIN,
    .ready = ready,
  };
  if (source->fd < 0)
    {
      io_log (IO_ERROR, "cannot_bind", "udp_port=%lu reason=\"%s\"", port,
              strerror (-source->fd));
      return -1;
    }
  return io_loop_add (loop, source);
}

static void
report (const struct bl_findings *findings)
{
  io_print_findings (findings);
  fprintf (stderr, "boragelatchd: %zu settings are wrong\n", findings->count);
}

static void
catch_signals (void)
{
  struct sigaction action = { .sa_handler = on_signal };

  sigaction (SIGTERM, &action, NULL);
  sigaction (SIGINT, &action, NULL);
  sigaction (SIGHUP, &action, NULL);
  signal (SIGPIPE, SIG_IGN);
}

/* The ways to run a role, by its settings.  */
static const struct
{
  enum role role;
  int (*run) (const struct settings *settings);
} runs[] = {
  { ROLE_BALANCER, balancer_run },
  { ROLE_AGENT, agent_run },
  { ROLE_DISPATCHER, dispatcher_run },
  { ROLE_PASSTHROUGH, passthrough_run },
};

static int
run (struct settings *settings)
{
  int status = 1;

  catch_signals ();
  io_log_open (settings->log_level);
  if (settings->random_seed == 0)
    settings->random_seed
        = (unsigned long)(io_wall_ms () ^ bl_name_hash (&settings->id, 0));
  for (size_t i = 0; i < sizeof runs / sizeof runs[0]; i++)
    if (runs[i].role == settings->role)
      status = runs[i].run (settings);
  io_log_close ();
  return status;
}

int
main (int argc, const char **argv)
{
  static struct bl_findings findings;
  struct settings settings;
  int status = 0;

  if (settings_read (&settings, argc, argv, &findings) != BL_OK)
    {
      report (&findings);
      settings_free (&settings);
      return EXIT_BAD_SETTINGS;
    }
  if (settings.print_only)
    settings_print (&settings);
  if (!settings.print_only && !settings.check_only)
    status = run (&settings);
  settings_free (&settings);
  return status;
}
