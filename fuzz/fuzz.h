/* fuzz.h -- what each target of the fuzzer defines  */

#ifndef FUZZ_H
#define FUZZ_H

#include <stddef.h>
#include <stdint.h>

/* Decodes the input DATA and aborts if a promise is broken.  Returns 0.  The
   fuzzer's library calls it by the name that it gives.  */
int fuzz_input (const uint8_t *data,
                size_t size) __asm__("LLVMFuzzerTestOneInput");

/* Returns a copy of the input as a string, to be released with free().  */
char *fuzz_copy_text (const uint8_t *data, size_t size);

#endif
