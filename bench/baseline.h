/* baseline.h -- placement policies for comparison with the core's  */

#ifndef BASELINE_H
#define BASELINE_H

#include "boragelatch.h"

/* Chooses the ready candidate at index flow hash modulo their number.  */
extern struct bl_policy baseline_modulo;

#endif
