// The implementations of Asio and Beast, compiled once for the whole workspace.

#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
