#include <array>

#include "figwell/telemetry.h"

namespace figwell::telemetry {
namespace {

constexpr std::array kCatalogue = {
    MetricInfo{"figwell_requests_total", "counter",
               "Requests from callers, by outcome"},
    MetricInfo{"figwell_refusals_total", "counter", "Refusals, by reason"},
    MetricInfo{"figwell_retries_total", "counter",
               "Attempts sent after a failed attempt, by reason"},
    MetricInfo{"figwell_retries_denied_total", "counter",
               "Failed attempts that were not retried, by reason"},
    MetricInfo{"figwell_rejected_messages_total", "counter",
               "HTTP messages that could not be parsed, by reason"},
    MetricInfo{"figwell_peer_messages_dropped_total", "counter",
               "Peer messages that were dropped, by reason"},
    MetricInfo{"figwell_peer_bytes_total", "counter",
               "Bytes exchanged with peers, by direction"},
    MetricInfo{"figwell_claims_total", "counter",
               "Idempotency claims, by verdict"},
    MetricInfo{"figwell_patches_total", "counter",
               "Operators' configuration patches, by outcome"},
    MetricInfo{"figwell_servers_leaving_total", "counter",
               "Servers whose leaving was reported before their registry entry "
               "showed it"},
    MetricInfo{"figwell_server_pauses_total", "counter",
               "Responses in which a server requested a pause"},
    MetricInfo{"figwell_unexpected_errors_total", "counter",
               "Exceptions that ended one request or message"},
    MetricInfo{"figwell_attempts_total", "counter",
               "Attempts sent to backend servers, by result"},
    MetricInfo{"figwell_store_calls_total", "counter",
               "Calls to the store, by kind and outcome"},
    MetricInfo{"figwell_orders_total", "counter",
               "Orders to backend servers, by action and outcome"},
    MetricInfo{
        "figwell_first_byte_seconds", "histogram",
        "Time from a request to the first byte of its answer, by route kind"},
    MetricInfo{"figwell_answer_seconds", "histogram",
               "Time from a request to the end of its answer, by route kind"},
    MetricInfo{
        "figwell_leads", "gauge",
        "1 if this instance is the leader that sends orders to the backend "
        "servers, otherwise 0"},
    MetricInfo{"figwell_servers_usable", "gauge",
               "Backend servers that accept new requests"},
    MetricInfo{"figwell_peers_heard", "gauge",
               "Other instances with a recent report"},
    MetricInfo{"figwell_config_number", "gauge",
               "The number of the configuration in force"},
    MetricInfo{"figwell_budget_units", "gauge", "Budget units held"},
    MetricInfo{"figwell_requests_active", "gauge", "Requests in progress"},
    MetricInfo{"figwell_requests_queued", "gauge",
               "Requests waiting for admission"},
    MetricInfo{"figwell_first_token_seconds", "summary",
               "Time from a request to the first piece of its answer"},
    MetricInfo{"figwell_request_seconds", "summary",
               "Time from a request to the end of its answer"},
};

}  // namespace

std::span<const MetricInfo> MetricCatalogue() { return kCatalogue; }

}  // namespace figwell::telemetry
