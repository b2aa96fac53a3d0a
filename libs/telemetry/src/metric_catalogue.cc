#include <array>

#include "figwell/telemetry.h"

namespace figwell::telemetry {
namespace {

constexpr std::array kCatalogue = {
    MetricInfo{"figwell_requests_total", "counter",
               "Requests of callers, by outcome"},
    MetricInfo{"figwell_refusals_total", "counter", "Refusals, by reason"},
    MetricInfo{"figwell_retries_total", "counter",
               "Attempts that followed a broken one, by reason"},
    MetricInfo{"figwell_retries_denied_total", "counter",
               "Attempts that did not follow a broken one, by reason"},
    MetricInfo{"figwell_rejected_messages_total", "counter",
               "HTTP messages that could not be parsed and connections over "
               "their limit, at any listener, by reason"},
    MetricInfo{"figwell_peer_messages_dropped_total", "counter",
               "Peer messages that were dropped, by reason"},
    MetricInfo{"figwell_peer_bytes_total", "counter",
               "Bytes exchanged with peers, by direction"},
    MetricInfo{"figwell_claims_total", "counter",
               "Idempotency claims, by verdict"},
    MetricInfo{"figwell_patches_total", "counter",
               "Operators' patches, by outcome"},
    MetricInfo{"figwell_servers_leaving_total", "counter",
               "Servers that said themselves that they leave, before their "
               "entry did"},
    MetricInfo{"figwell_server_limit_changes_total", "counter",
               "Limits of servers that began, changed or ended, by change"},
    MetricInfo{"figwell_server_crash_reports_total", "counter",
               "Requests that were waiting at a server when it crashed, by who "
               "noticed"},
    MetricInfo{"figwell_permit_waits_total", "counter",
               "Requests that waited for a permit of a limited server"},
    MetricInfo{"figwell_server_pauses_total", "counter",
               "Answers with which a server asked for a pause"},
    MetricInfo{"figwell_unexpected_errors_total", "counter",
               "Exceptions that ended one request or message"},
    MetricInfo{"figwell_attempts_total", "counter",
               "Sends to backend servers, by how they ended"},
    MetricInfo{"figwell_store_calls_total", "counter",
               "Calls to the store, by kind and outcome"},
    MetricInfo{"figwell_store_restores_total", "counter",
               "Times that the store came back from an older copy"},
    MetricInfo{"figwell_orders_total", "counter",
               "Orders to backend servers, by action and outcome"},
    MetricInfo{
        "figwell_first_byte_seconds", "histogram",
        "Time from a request to the first byte of its answer, by route kind"},
    MetricInfo{"figwell_answer_seconds", "histogram",
               "Time from a request to the end of its answer, by route kind"},
    MetricInfo{"figwell_leads", "gauge",
               "Whether this instance orders the backend servers"},
    MetricInfo{
        "figwell_prompts_quarantined", "gauge",
        "Requests and sets of prompt parts that are refused, since servers "
        "crash on them"},
    MetricInfo{"figwell_streams_taken_up_total", "counter",
               "Streams that callers took up, by whether the version that "
               "began them is known"},
    MetricInfo{"figwell_descriptor_shortages_total", "counter",
               "Connections that could not be accepted or made for lack of "
               "descriptors, by operation"},
    MetricInfo{"figwell_streams_held_total", "counter",
               "Taken-up streams that waited until the store was complete "
               "after a restore"},
    MetricInfo{"figwell_evacuation_changes_total", "counter",
               "Evacuations of failure domains that began or ended, by change"},
    MetricInfo{"figwell_pace_changes_total", "counter",
               "Usual paces of backend servers that were learned or changed"},
    MetricInfo{"figwell_servers_cold", "gauge",
               "Backend servers that bear only a low rate for now, or may"},
    MetricInfo{"figwell_domains_evacuated", "gauge",
               "Failure domains whose servers get nothing, since the operator "
               "evacuates them"},
    MetricInfo{"figwell_servers_limited", "gauge",
               "Backend servers that limit the rate of requests"},
    MetricInfo{"figwell_servers_usable", "gauge",
               "Backend servers that new work may go to"},
    MetricInfo{"figwell_peers_heard", "gauge",
               "Other instances that were heard lately"},
    MetricInfo{"figwell_config_number", "gauge",
               "The number of the configuration in force"},
    MetricInfo{"figwell_budget_units", "gauge", "Budget units held"},
    MetricInfo{"figwell_requests_active", "gauge",
               "Requests that have not ended"},
    MetricInfo{"figwell_requests_queued", "gauge",
               "Requests that wait for admission"},
    MetricInfo{"figwell_first_token_seconds", "summary",
               "Time from the request to the first piece of its answer"},
    MetricInfo{"figwell_request_seconds", "summary",
               "Time from the request to the end of its answer"},
};

}  // namespace

std::span<const MetricInfo> MetricCatalogue() { return kCatalogue; }

}  // namespace figwell::telemetry
