/* scenario.h -- scenarios on the fake network as text, one event a line  */

#ifndef SCENARIO_H
#define SCENARIO_H

#include "test/fake.h"

/* The events, each with its arguments:

     service NAME                  is created
     node ID DC                    a balancer starts
     agent ID DC SERVICE           a backend server and its agent start
     run MS                        time passes
     open COUNT SEGMENTS           callers open flows
     reopen SEGMENTS               those that are done open new ones
     cancel SEGMENTS               open ones are reset, and opened anew
     loss N, doubling N            of packets and datagrams, in ten thousand
     delay MIN MAX                 milliseconds
     kill ID, restart ID           without a word; a new process in its place
     become ID SERVICE             a new process of another service there
     freeze ID MS, mute ID MS      paused; its announcements are lost
     cut DC DC, mend               no message passes between; all pass again
     drain ID, undrain ID          by the operator
     weigh ID WEIGHT, rank DC RANK likewise
     platform down|up              seen by relays
     stop ID                       a graceful stop is begun
     leave ID                      and ended
     unwell ID, well ID            what the health of its server comes to
     mark                          first packets are counted from here
     finish MS                     until all flows are over, at most MS

   and what must hold:

     expect open|done|refused|broken N
     expect broken-only ID...      all broken flows lived at one of these
     expect refused-unserved       of no refused flow a byte was taken
     expect doubled N              flows whose bytes reached two servers
     expect no-new ID              no first packet since the mark
     expect flows ID N             connections at an agent
     expect at-most|at-least ID N  the same
     expect members N, ready N     at every balancer
     expect in-force MS            the last change, everywhere within MS  */

/* Runs one line.  False when it is malformed or does not hold; WHY says so.  */
bool
scenario_run_line (struct fake *f, const char *line, char *why, size_t cap);

/* Runs a whole text; prints the first line that fails with its number.  */
bool scenario_run (const char *name, const char *text);
/* The same for a file; false also when it cannot be read.  */
bool scenario_run_file (const char *path);

#endif
