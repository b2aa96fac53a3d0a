#include "commands.h"

#include <boost/json.hpp>

#include "changes.h"
#include "files.h"
#include "tables.h"

namespace figwell::ctl {
namespace {

namespace json = boost::json;
using config::Configuration;
using config::VersionNumber;

constexpr std::size_t kKeyBytes = 32;
constexpr std::chrono::milliseconds kWatchInterval{2'000};

/** The input and output of one command. */
struct CommandContext {
  std::vector<std::string> arguments;  // the words after the command's own
  const CommandOptions& options;
  Session& session;
  std::ostream& out;

  template <typename IdType>
  IdType Id(std::size_t index) const {
    return IdType(arguments[index]);
  }
};

using Handler = Result<void> (*)(CommandContext&);

struct CommandEntry {
  std::string_view words;
  std::size_t argument_count;  // how many follow the command's own words
  std::string_view help;
  Handler run;
};

void PrintNumber(const CommandContext& context, VersionNumber number) {
  if (context.options.json) {
    context.out << json::serialize(json::object{{"number", number}}) << '\n';
  } else {
    context.out << "accepted as version " << number << '\n';
  }
}

Result<void> Apply(CommandContext& context, const Change& change) {
  const auto number = context.session.Apply(change);
  if (!number) {
    return tl::unexpected<Error>(number.error());
  }
  PrintNumber(context, *number);
  return {};
}

Result<void> Print(CommandContext& context, const std::string& target,
                   std::string (*table)(std::string_view)) {
  const auto body = context.session.Get(target);
  if (!body) {
    return tl::unexpected<Error>(body.error());
  }
  context.out << (context.options.json ? *body + "\n" : table(*body));
  context.out.flush();
  return {};
}

Result<void> ConfigShow(CommandContext& context) {
  const auto configuration = context.session.Configuration();
  if (!configuration) {
    return tl::unexpected<Error>(configuration.error());
  }
  context.out << (context.options.json ? config::ToJson(*configuration) + "\n"
                                       : ConfigurationTables(*configuration));
  return {};
}

Result<void> ConfigPatch(CommandContext& context) {
  const Result<std::string> patch = ReadFile(context.arguments[0]);
  if (!patch) {
    return tl::unexpected<Error>(patch.error());
  }
  VersionNumber base = 0;
  if (context.options.base) {
    base = static_cast<VersionNumber>(*context.options.base);
  } else {
    const auto configuration = context.session.Configuration();
    if (!configuration) {
      return tl::unexpected<Error>(configuration.error());
    }
    base = configuration->number;
  }
  const auto number = context.session.Patch(
      base, context.options.id ? *context.options.id : NewPatchId(), *patch);
  if (!number) {
    return tl::unexpected<Error>(number.error());
  }
  PrintNumber(context, *number);
  return {};
}

Result<void> ConfigHistory(CommandContext& context) {
  return Print(context, "/v1/history", HistoryTable);
}

Result<void> TeamAdd(CommandContext& context) {
  return Apply(context, [&](const Configuration& base) {
    return AddTeam(base, context.Id<TeamId>(0), context.options);
  });
}

Result<void> TeamSet(CommandContext& context) {
  return Apply(context, [&](const Configuration& base) {
    return SetTeam(base, context.Id<TeamId>(0), context.options);
  });
}

Result<void> TeamRemove(CommandContext& context) {
  return Apply(context, [&](const Configuration& base) {
    return RemoveTeam(base, context.Id<TeamId>(0));
  });
}

// Prints the plaintext key if the key was or may have been accepted: it is not
// stored, so a key with an unknown outcome would otherwise be lost.
Result<void> KeyIssue(CommandContext& context) {
  const std::string key = "fw-" + RandomHex(kKeyBytes);
  const auto number = context.session.Apply([&](const Configuration& base) {
    return IssueKey(base, context.Id<TeamId>(0), context.Id<KeyId>(1),
                    Sha256(key));
  });
  const bool may_be_accepted =
      number || number.error().code == ErrorCode::kUnknownOutcome;
  if (may_be_accepted && context.options.json) {
    json::object answer = {{"key", key}, {"sha256", ToHex(Sha256(key))}};
    if (number) {
      answer.emplace("number", *number);
    }
    context.out << json::serialize(answer) << '\n';
  } else if (may_be_accepted) {
    context.out << key << "\nThis key is shown only once and is not stored.\n";
  }
  if (!number) {
    return tl::unexpected<Error>(number.error());
  }
  if (!context.options.json) {
    PrintNumber(context, *number);
  }
  return {};
}

Result<void> KeyWithdraw(CommandContext& context) {
  return Apply(context, [&](const Configuration& base) {
    return WithdrawKey(base, context.Id<TeamId>(0), context.Id<KeyId>(1));
  });
}

Result<void> KeyDeny(CommandContext& context) {
  Result<Digest> digest = Fail(ErrorCode::kInvalid, "no digest");
  if (context.options.sha256) {
    digest = DigestFromHex(*context.options.sha256);
  } else if (context.arguments.size() == 2) {
    digest = context.session.Configuration().and_then([&](const auto& base) {
      return DigestOfKey(base, context.Id<TeamId>(0), context.Id<KeyId>(1));
    });
  } else {
    return Fail(ErrorCode::kInvalid, "TEAM KEY or --sha256 DIGEST is required");
  }
  auto denied = digest.and_then(
      [&](const Digest& one) { return context.session.Deny(one); });
  if (!denied) {
    return denied;
  }
  if (context.options.json) {
    context.out << R"({"denied":")" << ToHex(*digest) << "\"}\n";
  } else {
    context.out << "denied " << ToHex(*digest)
                << "\nWithdraw the key as well: the denial is temporary and "
                   "ends when the withdrawal takes effect.\n";
  }
  return {};
}

Result<void> ModelOffer(CommandContext& context) {
  return Apply(context, [&](const Configuration& base) {
    return OfferModel(base, context.Id<ModelId>(0), context.options);
  });
}

Result<void> ModelWithdraw(CommandContext& context) {
  return Apply(context, [&](const Configuration& base) {
    return WithdrawModel(base, context.Id<ModelId>(0), context.options);
  });
}

Result<void> AdapterOffer(CommandContext& context) {
  return Apply(context, [&](const Configuration& base) {
    return OfferAdapter(base, context.Id<ModelId>(0), context.Id<AdapterId>(1),
                        context.options);
  });
}

Result<void> AdapterWithdraw(CommandContext& context) {
  return Apply(context, [&](const Configuration& base) {
    return WithdrawAdapter(base, context.Id<ModelId>(0),
                           context.Id<AdapterId>(1));
  });
}

// With --watch it repeats until the process is ended, and continues after
// errors.
Result<void> Status(CommandContext& context) {
  Result<void> printed = Print(context, "/v1/status", StatusTables);
  while (context.options.watch) {
    context.session.Sleep(kWatchInterval);
    context.out << '\n';
    printed = Print(context, "/v1/status", StatusTables);
    if (!printed) {
      context.out << printed.error() << '\n';
    }
  }
  return printed;
}

constexpr CommandEntry kCommands[] = {
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

// `key deny` takes either two arguments or --sha256.
bool HasExpectedArguments(const CommandEntry& command,
                          std::size_t argument_count,
                          const CommandOptions& options) {
  const bool digest_given = command.run == KeyDeny && options.sha256;
  return argument_count == command.argument_count ||
         (digest_given && argument_count == 0);
}

}  // namespace

std::string Usage() {
  std::vector<std::vector<std::string>> rows = {{"COMMAND", ""}};
  for (const CommandEntry& command : kCommands) {
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
    for (const CommandEntry& command : kCommands) {
      if (command.words != joined) {
        continue;
      }
      CommandContext context{
          {words.begin() + static_cast<std::ptrdiff_t>(i) + 1, words.end()},
          options,
          session,
          out};
      if (!HasExpectedArguments(command, context.arguments.size(), options)) {
        return Fail(ErrorCode::kInvalid,
                    joined + " " + std::string(command.help));
      }
      return command.run(context);
    }
  }
  return Fail(ErrorCode::kInvalid, "no such command: " + joined);
}

}  // namespace figwell::ctl
