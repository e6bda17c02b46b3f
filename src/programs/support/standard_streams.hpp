// The standard streams that a process inherits.
#pragma once

namespace rhubarbweir {

// Call at the start of main(), before anything opens a file. Opens /dev/null in place of standard
// streams that are closed, so that no socket or file takes their descriptors and receives their
// text.
void secureStandardStreams();

} // namespace rhubarbweir
