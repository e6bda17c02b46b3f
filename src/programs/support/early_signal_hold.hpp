// Included by the main file of a program whose event loop handles signals. Holds them back before
// the constructors of the program's static objects run, and so before main().
#pragma once

#include "rhubarbweir/transport/event_loop.hpp"

namespace rhubarbweir {

// The first priority that is not reserved for the implementation.
[[gnu::constructor(101)]] static void holdSignalsEarly()
{
    EventLoop::holdSignals();
}

} // namespace rhubarbweir
