// Leaves a line in the log when a signal or an uncaught exception ends the process.
#pragma once

#include <string_view>

namespace rhubarbweir {

// Call first in main(). Writes one line of key=value pairs to standard error, as a log file may not
// be writable in a signal handler, before the default action of the signal ends the process:
// "clock=… instance=… event=process_ended program=… cause=signal signal=11 last_event=…", or
// cause=exception with its description. Covers fatal errors, and signals that nothing handles yet
// because the process is starting. Signals of failed writes end no process: the writer handles the
// error.
void reportAbnormalEnds(std::string_view program);

// For the event log: what the line names. Longer texts are cut off.
void setReportedInstance(std::string_view instance);
void setLastEvent(std::string_view event);
// `flush` waits a short time until the lines before the last one are written; it is called in a
// signal handler.
void setLogFlush(void (*flush)());

} // namespace rhubarbweir
