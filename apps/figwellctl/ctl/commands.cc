#include "commands.h"

#include <boost/json.hpp>
#include <fstream>
#include <iterator>

#include "changes.h"
#include "tables.h"

namespace figwell::ctl {
namespace {

namespace json = boost::json;
using config::Configuration;
using config::VersionNumber;

constexpr std::size_t kKeyBytes = 32;
constexpr std::chrono::milliseconds kWatchInterval{2'000};

/** The input and output of one command. */
struct Job {
  std::vector<std::string> names;  // the words after the command's own
  const CommandOptions& options;
  Session& session;
  std::ostream& out;

  template <typename IdType>
  IdType Name(std::size_t index) const {
    return IdType(names[index]);
  }
};

using Run = Result<void> (*)(Job&);

struct Entry {
  std::string_view words;
  std::size_t names;  // how many follow the command's own words
  std::string_view help;
  Run run;
};

void PrintNumber(const Job& job, VersionNumber number) {
  if (job.options.json) {
    job.out << json::serialize(json::object{{"number", number}}) << '\n';
  } else {
    job.out << "accepted as version " << number << '\n';
  }
}

Result<void> Apply(Job& job, const Change& change) {
  const auto number = job.session.Apply(change);
  if (!number) {
    return tl::unexpected<Error>(number.error());
  }
  PrintNumber(job, *number);
  return {};
}

Result<void> Print(Job& job, const std::string& target,
                   std::string (*table)(std::string_view)) {
  const auto body = job.session.Get(target);
  if (!body) {
    return tl::unexpected<Error>(body.error());
  }
  job.out << (job.options.json ? *body + "\n" : table(*body));
  job.out.flush();
  return {};
}

Result<void> ConfigShow(Job& job) {
  const auto configuration = job.session.Configuration();
  if (!configuration) {
    return tl::unexpected<Error>(configuration.error());
  }
  job.out << (job.options.json ? config::ToJson(*configuration) + "\n"
                               : ConfigurationTables(*configuration));
  return {};
}

Result<void> ConfigPatch(Job& job) {
  std::ifstream file(job.names[0], std::ios::binary);
  if (!file) {
    return Fail(ErrorCode::kInvalid, "cannot read " + job.names[0]);
  }
  const std::string patch(std::istreambuf_iterator<char>(file), {});
  VersionNumber base = 0;
  if (job.options.base) {
    base = static_cast<VersionNumber>(*job.options.base);
  } else {
    const auto configuration = job.session.Configuration();
    if (!configuration) {
      return tl::unexpected<Error>(configuration.error());
    }
    base = configuration->number;
  }
  const auto number = job.session.Patch(
      base, job.options.id ? *job.options.id : NewPatchId(), patch);
  if (!number) {
    return tl::unexpected<Error>(number.error());
  }
  PrintNumber(job, *number);
  return {};
}

Result<void> ConfigHistory(Job& job) {
  return Print(job, "/v1/history", HistoryTable);
}

Result<void> TeamAdd(Job& job) {
  return Apply(job, [&](const Configuration& base) {
    return AddTeam(base, job.Name<TeamId>(0), job.options);
  });
}

Result<void> TeamSet(Job& job) {
  return Apply(job, [&](const Configuration& base) {
    return SetTeam(base, job.Name<TeamId>(0), job.options);
  });
}

Result<void> TeamRemove(Job& job) {
  return Apply(job, [&](const Configuration& base) {
    return RemoveTeam(base, job.Name<TeamId>(0));
  });
}

// Prints the plaintext key if the key was or may have been accepted: it is not
// stored, so a key with an unknown outcome would otherwise be lost.
Result<void> KeyIssue(Job& job) {
  const std::string key = "fw-" + RandomHex(kKeyBytes);
  const auto number = job.session.Apply([&](const Configuration& base) {
    return IssueKey(base, job.Name<TeamId>(0), job.Name<KeyId>(1), Sha256(key));
  });
  const bool may_work =
      number || number.error().code == ErrorCode::kUnknownOutcome;
  if (may_work && job.options.json) {
    json::object answer = {{"key", key}, {"sha256", ToHex(Sha256(key))}};
    if (number) {
      answer.emplace("number", *number);
    }
    job.out << json::serialize(answer) << '\n';
  } else if (may_work) {
    job.out << key << "\nThis key is shown only once and is not stored.\n";
  }
  if (!number) {
    return tl::unexpected<Error>(number.error());
  }
  if (!job.options.json) {
    PrintNumber(job, *number);
  }
  return {};
}

Result<void> KeyWithdraw(Job& job) {
  return Apply(job, [&](const Configuration& base) {
    return WithdrawKey(base, job.Name<TeamId>(0), job.Name<KeyId>(1));
  });
}

Result<void> KeyDeny(Job& job) {
  Result<Digest> digest = Fail(ErrorCode::kInvalid, "no digest");
  if (job.options.sha256) {
    digest = DigestFromHex(*job.options.sha256);
  } else if (job.names.size() == 2) {
    digest = job.session.Configuration().and_then([&](const auto& base) {
      return DigestOfKey(base, job.Name<TeamId>(0), job.Name<KeyId>(1));
    });
  } else {
    return Fail(ErrorCode::kInvalid, "TEAM KEY or --sha256 DIGEST is required");
  }
  auto denied =
      digest.and_then([&](const Digest& one) { return job.session.Deny(one); });
  if (!denied) {
    return denied;
  }
  if (job.options.json) {
    job.out << R"({"denied":")" << ToHex(*digest) << "\"}\n";
  } else {
    job.out << "denied " << ToHex(*digest)
            << "\nWithdraw the key as well: the denial is temporary and "
               "ends when the withdrawal takes effect.\n";
  }
  return {};
}

Result<void> ModelOffer(Job& job) {
  return Apply(job, [&](const Configuration& base) {
    return OfferModel(base, job.Name<ModelId>(0), job.options);
  });
}

Result<void> ModelWithdraw(Job& job) {
  return Apply(job, [&](const Configuration& base) {
    return WithdrawModel(base, job.Name<ModelId>(0), job.options);
  });
}

Result<void> AdapterOffer(Job& job) {
  return Apply(job, [&](const Configuration& base) {
    return OfferAdapter(base, job.Name<ModelId>(0), job.Name<AdapterId>(1),
                        job.options);
  });
}

Result<void> AdapterWithdraw(Job& job) {
  return Apply(job, [&](const Configuration& base) {
    return WithdrawAdapter(base, job.Name<ModelId>(0), job.Name<AdapterId>(1));
  });
}

// With --watch it repeats until the process is ended, and continues after
// errors.
Result<void> Status(Job& job) {
  Result<void> printed = Print(job, "/v1/status", StatusTables);
  while (job.options.watch) {
    job.session.Wait(kWatchInterval);
    job.out << '\n';
    printed = Print(job, "/v1/status", StatusTables);
    if (!printed) {
      job.out << printed.error() << '\n';
    }
  }
  return printed;
}

constexpr Entry kCommands[] = {
    {"config show", 0, "the configuration", ConfigShow},
    {"config patch", 1, "FILE [--base N] [--id ID]: send a merge patch",
     ConfigPatch},
    {"config history", 0, "the latest accepted patches", ConfigHistory},
    {"team add", 1,
     "TEAM [--rate] [--burst] [--weight] [--models] [--services]", TeamAdd},
    {"team set", 1, "TEAM, options as for add", TeamSet},
    {"team remove", 1, "TEAM", TeamRemove},
    {"key issue", 2, "TEAM KEY: create a key and print it once", KeyIssue},
    {"key withdraw", 2, "TEAM KEY", KeyWithdraw},
    {"key deny", 2, "TEAM KEY, or --sha256 DIGEST: works without the store",
     KeyDeny},
    {"model offer", 1,
     "MODEL --model-version V --bytes N [--default] [--max-tokens] [--pool]",
     ModelOffer},
    {"model withdraw", 1, "MODEL [--model-version V]", ModelWithdraw},
    {"adapter offer", 2, "MODEL ADAPTER --bytes N", AdapterOffer},
    {"adapter withdraw", 2, "MODEL ADAPTER", AdapterWithdraw},
    {"status", 0, "[--watch]", Status},
};

// `key deny` takes either two names or --sha256.
bool HasNames(const Entry& command, std::size_t given,
              const CommandOptions& options) {
  const bool digest_instead = command.run == KeyDeny && options.sha256;
  return given == command.names || (digest_instead && given == 0);
}

}  // namespace

std::string Usage() {
  std::vector<std::vector<std::string>> rows = {{"COMMAND", ""}};
  for (const Entry& command : kCommands) {
    rows.push_back({std::string(command.words), std::string(command.help)});
  }
  return FormatTable(rows);
}

Result<void> RunCommand(const std::vector<std::string>& words,
                        const CommandOptions& options, Session& session,
                        std::ostream& out) {
  std::string joined;
  for (std::size_t i = 0; i < words.size(); ++i) {
    joined += (i == 0 ? "" : " ") + words[i];
    for (const Entry& command : kCommands) {
      if (command.words != joined) {
        continue;
      }
      Job job{{words.begin() + static_cast<std::ptrdiff_t>(i) + 1, words.end()},
              options,
              session,
              out};
      if (!HasNames(command, job.names.size(), options)) {
        return Fail(ErrorCode::kInvalid,
                    joined + " " + std::string(command.help));
      }
      return command.run(job);
    }
  }
  return Fail(ErrorCode::kInvalid, "no such command: " + joined);
}

}  // namespace figwell::ctl
