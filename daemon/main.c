/* main.c -- boragelatchd: runs the role that its settings name  */

#include "daemon/daemon.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>

#define EXIT_BAD_SETTINGS 2

static volatile sig_atomic_t stop_requested;
static volatile sig_atomic_t reload_requested;

static void
on_signal (int sig)
{
  if (sig == SIGHUP)
    reload_requested = 1;
  else
    stop_requested = 1;
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
  return stop_requested != 0;
}

bool
daemon_take_reload_request (void)
{
  bool requested = reload_requested != 0;

  reload_requested = 0;
  return requested;
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
report_findings (const struct bl_findings *findings)
{
  io_print_findings (findings);
  fprintf (stderr, "boragelatchd: %zu settings are wrong\n", findings->count);
}

static void
install_signal_handlers (void)
{
  struct sigaction action = { .sa_handler = on_signal };

  sigaction (SIGTERM, &action, NULL);
  sigaction (SIGINT, &action, NULL);
  sigaction (SIGHUP, &action, NULL);
  signal (SIGPIPE, SIG_IGN);
}

/* Each role and the function that runs it.  */
static const struct
{
  enum role role;
  int (*run) (const struct settings *settings);
} role_functions[] = {
  { ROLE_BALANCER, balancer_run },
  { ROLE_AGENT, agent_run },
  { ROLE_DISPATCHER, dispatcher_run },
  { ROLE_PASSTHROUGH, passthrough_run },
};

static int
run_role (struct settings *settings)
{
  int status = 1;

  install_signal_handlers ();
  io_log_open (settings->log_level);
  if (settings->random_seed == 0)
    settings->random_seed
        = (unsigned long)(io_wall_ms () ^ bl_name_hash (&settings->id, 0));
  for (size_t i = 0; i < sizeof role_functions / sizeof role_functions[0]; i++)
    if (role_functions[i].role == settings->role)
      status = role_functions[i].run (settings);
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
      report_findings (&findings);
      settings_free (&settings);
      return EXIT_BAD_SETTINGS;
    }
  if (settings.print_only)
    settings_print (&settings);
  if (!settings.print_only && !settings.check_only)
    status = run_role (&settings);
  settings_free (&settings);
  return status;
}
