#ifndef FIGWELL_CONFIG_ADDRESS_H_
#define FIGWELL_CONFIG_ADDRESS_H_

#include <string_view>

namespace figwell::config {

/** Whether the text is `IP:PORT`, an IPv6 address in brackets. */
bool IsIpAndPort(std::string_view text, bool allow_port_zero = false);

}  // namespace figwell::config

#endif  // FIGWELL_CONFIG_ADDRESS_H_
