#ifndef FIGWELL_CORE_H_
#define FIGWELL_CORE_H_

/**
 * The vocabulary that every figwell library shares. In this order:
 *
 *   ids        strong types for what the configuration names
 *   time       the clock that decision code is given
 *   errors     Finding, Error, Result
 *   digests    SHA-256, HMAC-SHA-256, constant-time comparison, hexadecimal
 *   base64     bytes as text
 *   hashing    a hash that is the same in every process, rendezvous hashing
 *   random     a small seeded generator
 *   text       joining and parsing helpers
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
 * A name of one kind of thing. Ids of different kinds do not compare and do
 * not convert, so that a team cannot be passed where a model is expected.
 *
 * @tparam Tag an empty type that tells the kinds apart
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

  /** Lets cereal carry an id as its text. */
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
 * The clock of decision code. It has no `now`: the caller passes the present
 * time, which is the process's steady clock in a daemon and a counter in a
 * test.
 */
struct VirtualClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<VirtualClock>;
  static constexpr bool is_steady = true;
};

/** A point in monotonic time; only comparable within one process. */
using TimePoint = VirtualClock::time_point;

/**
 * The present monotonic time of this process. It goes on while the process is
 * paused (SIGSTOP) or the machine sleeps, so that a lease never seems younger
 * than it is.
 */
TimePoint MonotonicNow();

// ------------------------------------------------------------------- errors

/** One fault found in an input, with the place where it stands. */
struct Finding {
  /** A path such as `teams.drivers.rate`, or `FILE:LINE:COLUMN: path`. */
  std::string place;
  std::string message;

  friend auto operator<=>(const Finding&, const Finding&) = default;
  friend bool operator==(const Finding&, const Finding&) = default;
};

using Findings = std::vector<Finding>;

/** Renders findings one a line, `place: message`. */
std::string FormatFindings(const Findings& findings);

/** Why a call failed. */
enum class ErrorCode {
  kInvalid,         ///< the input has faults; see Error::findings
  kNotFound,        ///< no such thing
  kConflict,        ///< the state has moved on; read again
  kUnauthorized,    ///< not known, or not allowed
  kTooLarge,        ///< over a documented bound
  kUnavailable,     ///< certainly not carried out; may be tried again
  kUnknownOutcome,  ///< may or may not have been carried out
  kTimeout,         ///< the deadline passed before an answer
  kProtocol,        ///< the other side broke the protocol
  kInternal,        ///< a fault of this program
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

/** A value, or the reason why there is none. */
template <typename T>
using Result = tl::expected<T, Error>;

/** Makes the failed branch of a Result. */
tl::unexpected<Error> Fail(ErrorCode code, std::string message);

/** Makes the failed branch of a Result from findings (ErrorCode::kInvalid). */
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

/** Compares in a time that does not depend on where the inputs differ. */
bool ConstantTimeEqual(const Digest& left, const Digest& right);

/** 64 lower-case hexadecimal digits. */
std::string ToHex(const Digest& digest);

/** Reads 64 hexadecimal digits of either case; kInvalid otherwise. */
Result<Digest> DigestFromHex(std::string_view hex);

/** `bytes` random bytes of the operating system, in hexadecimal. */
std::string RandomHex(std::size_t bytes);

// ------------------------------------------------------------------- base64

/** Standard base64 with padding. */
std::string ToBase64(std::string_view bytes);

/** Reads standard base64 with padding; kProtocol otherwise. */
Result<std::string> FromBase64(std::string_view text);

// ------------------------------------------------------------------ hashing

/** A 64-bit hash that is the same in every process and on every machine. */
std::uint64_t StableHash(std::string_view data, std::uint64_t seed = 0);

/** Spreads the bits of a number (the finalizer of SplitMix64). */
std::uint64_t MixBits(std::uint64_t value);

/**
 * The weight of `candidate` for `key` in rendezvous hashing: the candidate
 * with the highest weight owns the key.
 */
std::uint64_t RendezvousWeight(std::string_view key,
                               std::string_view candidate);

// ------------------------------------------------------------------- random

/** A small, fast, seeded generator (SplitMix64); not for secrets. */
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

/** Reads a decimal number; the whole text has to be one. */
Result<std::int64_t> ParseInteger(std::string_view text);

/** Compares ASCII letters without regard to case. */
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
    // A digest is evenly spread already; its first bytes are hash enough.
    std::size_t value = 0;
    for (std::size_t i = 0; i < sizeof(value); ++i) {
      value = value << 8U | digest.bytes[i];
    }
    return value;
  }
};

#endif  // FIGWELL_CORE_H_
