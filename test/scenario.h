/* scenario.h -- runs scenarios, given as text, on the simulated network

   A scenario has one event or expectation on each line, and `seed N' starts a
   new simulation.  Empty lines and lines that start with # are ignored.  */

#ifndef SCENARIO_H
#define SCENARIO_H

#include "test/fake.h"

/* The events and their arguments:

     service NAME                  creates a service
     node ID DC                    starts a balancer
     agent ID DC SERVICE           starts a backend server and its agent
     run MS                        advances the time
     open COUNT SEGMENTS           callers open flows
     reopen SEGMENTS               callers that are done open new flows
     cancel SEGMENTS               callers reset their open flows and open
                                   new ones
     loss N, doubling N            loss and duplication of packets and control
                                   messages, per ten thousand
     delay MIN MAX                 delay of messages, milliseconds
     kill ID, restart ID           kills an instance; starts a new process in
                                   its place
     become ID SERVICE             the same for an agent of another service
     freeze ID MS, mute ID MS      pauses an instance; drops its control
                                   messages to balancers
     cut DC DC, mend               partitions two data centres; removes all
                                   partitions
     drain ID, undrain ID          changes by the operator
     weigh ID WEIGHT, rank DC RANK changes by the operator
     platform down|up              whether relays can read the platform
     stop ID                       begins a graceful stop
     leave ID                      ends a graceful stop
     unwell ID, well ID            health of the agent's backend server
     mark                          resets the counts of first packets
     finish MS                     runs until all flows have ended, for MS at
                                   most

   and the expectations:

     expect open|done|refused|broken N
                                   number of callers in this state
     expect broken-only ID...      the handshake of each broken flow was with
                                   one of these agents
     expect refused-unserved       no byte of a refused flow reached a server
     expect doubled N              number of flows with bytes that reached two
                                   servers
     expect no-new ID              no first packet since the mark
     expect flows ID N             number of connections at an agent
     expect at-most|at-least ID N  bounds of that number
     expect members N, ready N     live balancers and ready backend servers in
                                   the records of each balancer
     expect in-force MS            the last change of service `web' is in force
                                   everywhere within MS  */

/* Runs one line.  Returns false if the line is malformed or its expectation
   does not hold; REASON, of CAP bytes, then receives the reason.  */
bool
scenario_run_line (struct fake *f, const char *line, char *reason, size_t cap);

/* Runs a scenario up to the first line that fails.  Prints NAME and that line
   with its number and the reason to standard error, and returns false.  */
bool scenario_run (const char *name, const char *text);
/* Runs the scenario in a file; returns false also if the file cannot be
   read.  */
bool scenario_run_file (const char *path);

#endif
