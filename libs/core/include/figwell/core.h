#ifndef FIGWELL_CORE_H_
#define FIGWELL_CORE_H_

/**
 * Basic types and helpers that all figwell libraries share. In this order:
 *
 *   ids        strong types for the names in the configuration
 *   time       the clock of decision code
 *   errors     Finding, Error, Result
 *   digests    SHA-256, HMAC-SHA-256, constant-time comparison, hexadecimal
 *   base64     bytes as text
 *   hashing    a hash that is stable across processes, rendezvous hashing
 *   random     a small seeded generator
 *   text       parsing, comparison and UTF-8 helpers
 */

#include <array>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <ostream>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

namespace figwell {

// ---------------------------------------------------------------------- ids

/**
 * A typed identifier. Ids with different tags neither compare nor convert, so
 * that a team id cannot be passed where a model id is expected.
 *
 * @tparam Tag an empty type that distinguishes the kinds of ids
 */
template <typename Tag>
class Id {
 public:
  Id() = default;
  explicit Id(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  friend auto operator<=>(const Id&, const Id&) = default;
  friend bool operator==(const Id&, const Id&) = default;
  friend std::ostream& operator<<(std::ostream& out, const Id& id) {
    return out << id.value_;
  }

  /** Serializes an id as its text, for cereal. */
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(value_);
  }

 private:
  std::string value_;
};

using InstanceId = Id<struct InstanceTag>;
using DomainId = Id<struct DomainTag>;
using RegionId = Id<struct RegionTag>;
using TeamId = Id<struct TeamTag>;
using KeyId = Id<struct KeyTag>;
using ModelId = Id<struct ModelTag>;
using VersionId = Id<struct VersionTag>;
using AdapterId = Id<struct AdapterTag>;
using ServerId = Id<struct ServerTag>;
using ServiceId = Id<struct ServiceTag>;
using PoolId = Id<struct PoolTag>;
using PatchId = Id<struct PatchTag>;
using OperatorId = Id<struct OperatorTag>;
using RequestId = Id<struct RequestTag>;

// --------------------------------------------------------------------- time

/** Time spans in decision code, with a resolution of one microsecond. */
using Duration = std::chrono::microseconds;

/**
 * The clock of decision code. It has no `now`: the caller passes the current
 * time, which is MonotonicNow() in a daemon and a counter in a test.
 */
struct VirtualClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<VirtualClock>;
  static constexpr bool is_steady = true;
};

/** A point in monotonic time; comparable only within one process. */
using TimePoint = VirtualClock::time_point;

/**
 * The current monotonic time of this process. It continues while the process
 * is paused (SIGSTOP) or the machine sleeps, so that a lease never seems
 * younger than it is.
 */
TimePoint MonotonicNow();

// ------------------------------------------------------------------- errors

/** One fault found in an input, with its location. */
struct Finding {
  /** A path such as `teams.drivers.rate`, or `FILE:LINE:COLUMN: path`. */
  std::string place;
  std::string message;

  friend auto operator<=>(const Finding&, const Finding&) = default;
  friend bool operator==(const Finding&, const Finding&) = default;
};

using Findings = std::vector<Finding>;

/** Renders findings, one per line, as `place: message`. */
std::string FormatFindings(const Findings& findings);

/** Why a call failed. */
enum class ErrorCode {
  kInvalid,         ///< the input is invalid; see Error::findings
  kNotFound,        ///< the named object does not exist
  kConflict,        ///< the state has changed; read it again
  kUnauthorized,    ///< the caller is unknown or not permitted
  kTooLarge,        ///< over a documented limit
  kUnavailable,     ///< certainly not executed; may be retried
  kUnknownOutcome,  ///< may or may not have been executed
  kTimeout,         ///< the deadline passed before an answer
  kProtocol,        ///< the peer violated the protocol
  kInternal,        ///< a bug in this program
};

/** The stable lower-case name of an error code, for example `unavailable`. */
std::string_view Name(ErrorCode code);

/** An error as a value. */
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  std::string message;
  Findings findings;

  friend bool operator==(const Error&, const Error&) = default;
};

std::ostream& operator<<(std::ostream& out, const Error& error);

/** A value, or the error that prevented it. */
template <typename T>
using Result = tl::expected<T, Error>;

/** Makes a failed Result. */
tl::unexpected<Error> Fail(ErrorCode code, std::string message);

/** Makes a failed Result from findings (ErrorCode::kInvalid). */
tl::unexpected<Error> Fail(Findings findings);

// ------------------------------------------------------------------ digests

inline constexpr std::size_t kDigestBytes = 32;

/** A SHA-256 digest or an HMAC-SHA-256 tag. */
struct Digest {
  std::array<std::uint8_t, kDigestBytes> bytes{};

  friend auto operator<=>(const Digest&, const Digest&) = default;
  friend bool operator==(const Digest&, const Digest&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    for (std::uint8_t& byte : bytes) {
      archive(byte);
    }
  }
};

std::ostream& operator<<(std::ostream& out, const Digest& digest);

Digest Sha256(std::string_view data);
Digest HmacSha256(std::string_view secret, std::string_view data);

/** Compares in a time that does not depend on the inputs' contents. */
bool ConstantTimeEqual(const Digest& left, const Digest& right);

/** 64 lower-case hexadecimal digits. */
std::string ToHex(const Digest& digest);

/** Parses 64 hexadecimal digits of either case; kInvalid otherwise. */
Result<Digest> DigestFromHex(std::string_view hex);

/** `bytes` random bytes from OpenSSL's generator, in hexadecimal. */
std::string RandomHex(std::size_t bytes);

// ------------------------------------------------------------------- base64

/** Standard base64 with padding. */
std::string ToBase64(std::string_view bytes);

/** Decodes standard base64 with padding; kProtocol otherwise. */
Result<std::string> FromBase64(std::string_view text);

// ------------------------------------------------------------------ hashing

/** A 64-bit hash that is the same in every process and on every machine. */
std::uint64_t StableHash(std::string_view data, std::uint64_t seed = 0);

/** Mixes the bits of a number (the finalizer of SplitMix64). */
std::uint64_t MixBits(std::uint64_t value);

/**
 * The weight of `candidate` for `key` in rendezvous hashing: the candidate
 * with the highest weight owns the key.
 */
std::uint64_t RendezvousWeight(std::string_view key,
                               std::string_view candidate);

// ------------------------------------------------------------------- random

/** A small, fast, seeded generator (SplitMix64); not cryptographic. */
class Random {
 public:
  using result_type = std::uint64_t;

  explicit Random(std::uint64_t seed) : state_(seed) {}

  static constexpr result_type min() { return 0; }
  static constexpr result_type max() { return ~result_type{0}; }
  result_type operator()();

  /** A number in [0, bound); 0 when `bound` is 0. */
  std::uint64_t Below(std::uint64_t bound);

  /** A number in [0, 1). */
  double Unit();

  /** An exponentially distributed number with the given mean. */
  double Exponential(double mean);

 private:
  std::uint64_t state_;
};

// --------------------------------------------------------------------- text

/** Parses a decimal integer; kInvalid if anything else is in the text. */
Result<std::int64_t> ParseInteger(std::string_view text);

/** Compares texts, ignoring the case of ASCII letters. */
bool EqualsIgnoreCase(std::string_view left, std::string_view right);

/** Whether the text is well-formed UTF-8. */
bool IsValidUtf8(std::string_view text);

}  // namespace figwell

template <typename Tag>
struct std::hash<figwell::Id<Tag>> {
  std::size_t operator()(const figwell::Id<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.value());
  }
};

template <>
struct std::hash<figwell::Digest> {
  std::size_t operator()(const figwell::Digest& digest) const noexcept {
    // A digest is uniformly distributed, so its first bytes serve as a hash.
    std::size_t value = 0;
    for (std::size_t i = 0; i < sizeof(value); ++i) {
      value = value << 8U | digest.bytes[i];
    }
    return value;
  }
};

#endif  // FIGWELL_CORE_H_
