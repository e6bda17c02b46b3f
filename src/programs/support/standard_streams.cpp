// See standard_streams.hpp.
#include "programs/support/standard_streams.hpp"

#include <initializer_list>

#include <fcntl.h>
#include <unistd.h>

namespace rhubarbweir {

void secureStandardStreams()
{
    for (const int stream : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
        // A new descriptor has the lowest free number, which is that of the stream.
        if (::fcntl(stream, F_GETFD) < 0 && ::open("/dev/null", O_RDWR) < 0)
            ::open("/", O_RDONLY);
    }
}

} // namespace rhubarbweir
