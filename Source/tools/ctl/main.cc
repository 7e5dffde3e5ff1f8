// loftctl: the command-line tool for operators.

#include <CLI/CLI.hpp>
#include <iostream>

#include "base/error.h"
#include "tools/ctl/commands.h"
#include "tools/ctl/exit_codes.h"

namespace {

using hickoryloft::tools::CtlOptions;
using CommandFunction = void (*)(const CtlOptions&);

constexpr char kExamples[] =
    "Examples:\n"
    "  loftctl document check Examples/jarro/jarro.toml\n"
    "  loftctl --operator-key-file op.key document apply jarro.toml\n"
    "  loftctl --operator-key-file op.key key issue jarro recife-counter "
    "till-2\n"
    "  loftctl --operator-key-file op.key endpoint drain jarro engine-3\n"
    "  loftctl --operator-key-file op.key status --json\n"
    "  loftctl explain 9c41d07be2a35f68 logs/*.log\n";

// The parser, the options it fills and the selected command.
struct CommandLine {
  CLI::App m_app{"Operates a hickoryloft fleet through one coordinator."};
  CtlOptions m_options;
  long long m_timeout_ms = 10000;
  CommandFunction m_chosen = nullptr;
};

CLI::App* AddCommand(CommandLine& line,
                     CLI::App* group,
                     const std::string& name,
                     const std::string& help,
                     CommandFunction function) {
  CLI::App* command = group->add_subcommand(name, help);
  command->callback([&line, function] { line.m_chosen = function; });
  return command;
}

void AddFile(CommandLine& line, CLI::App* command) {
  command->add_option("file", line.m_options.m_file, "The document's file")
      ->required()
      ->check(CLI::ExistingFile);
  command->add_option("--service", line.m_options.m_service,
                      "The service; by default the file's name");
}

void AddService(CommandLine& line, CLI::App* command) {
  command->add_option("service", line.m_options.m_service, "The service")
      ->required();
}

void AddDocumentCommands(CommandLine& line) {
  using namespace hickoryloft::tools;
  CLI::App* group = line.m_app.add_subcommand(
      "document", "Check, compare and apply a service's document");
  group->require_subcommand(1);
  AddFile(line, AddCommand(line, group, "check",
                           "Check a file without contacting a coordinator",
                           &CheckDocument));
  AddFile(line, AddCommand(line, group, "diff",
                           "Show how a file differs from the stored document",
                           &DiffDocument));
  CLI::App* apply =
      AddCommand(line, group, "apply",
                 "Store a file and wait until it is accepted", &ApplyDocument);
  AddFile(line, apply);
  apply->add_option("--if-revision", line.m_options.m_if_revision,
                    "Apply only if the stored document has this revision; 0: "
                    "only if there is none");
  AddService(line, AddCommand(line, group, "get", "Print the stored document",
                              &GetDocument));
  AddService(line, AddCommand(line, group, "delete",
                              "Remove the stored document", &DeleteDocument));
}

void AddKeyCommands(CommandLine& line) {
  using namespace hickoryloft::tools;
  CLI::App* group = line.m_app.add_subcommand(
      "key", "Issue and withdraw keys of client accounts");
  group->require_subcommand(1);
  for (CLI::App* command :
       {AddCommand(line, group, "issue",
                   "Create a key, store its digest, print the key once",
                   &IssueKey),
        AddCommand(line, group, "withdraw", "Make a key stop working",
                   &WithdrawKey)}) {
    AddService(line, command);
    command->add_option("account", line.m_options.m_account, "The account")
        ->required();
    command->add_option("name", line.m_options.m_key_name, "The key's name")
        ->required();
  }
}

void AddOtherCommands(CommandLine& line) {
  using namespace hickoryloft::tools;
  CLI::App* endpoint = line.m_app.add_subcommand(
      "endpoint", "Take endpoints out of service and back");
  endpoint->require_subcommand(1);
  CLI::App* drain = AddCommand(line, endpoint, "drain",
                               "Give an endpoint no new work", &DrainEndpoint);
  CLI::App* undrain = AddCommand(line, endpoint, "undrain",
                                 "Give an endpoint work again", &DrainEndpoint);
  undrain->callback([&line] {
    line.m_chosen = &DrainEndpoint;
    line.m_options.m_draining = false;
  });
  for (CLI::App* command : {drain, undrain}) {
    AddService(line, command);
    command->add_option("endpoint", line.m_options.m_endpoint, "The endpoint")
        ->required();
  }
  CLI::App* status =
      AddCommand(line, &line.m_app, "status",
                 "Print members, claims and documents", &PrintStatus);
  status->add_flag("--json", line.m_options.m_json, "Print JSON on one line");
}

void AddLogCommands(CommandLine& line) {
  using namespace hickoryloft::tools;
  CLI::App* explain = AddCommand(
      line, &line.m_app, "explain",
      "Show what became of a request, from the hosts' logs", &ExplainRequest);
  explain
      ->add_option("request", line.m_options.m_request_id, "The request's id")
      ->required();
  explain
      ->add_option("file", line.m_options.m_logs,
                   "Logs of all hosts; without any, standard input is read")
      ->check(CLI::ExistingFile);
  AddCommand(line, &line.m_app, "log-fields",
             "Print the fields that log lines may have", &PrintLogFields);
}

void AddGlobalOptions(CommandLine& line) {
  line.m_app.set_version_flag("--version",
                              std::string("loftctl ") + HICKORYLOFT_VERSION);
  line.m_app
      .add_option("--coordinator", line.m_options.m_coordinator,
                  "The admin address of any coordinator, ip:port")
      ->capture_default_str();
  line.m_app.add_option(
      "--operator-key-file", line.m_options.m_operator_key_file,
      "File whose first line is the operator key; keys are never arguments");
  line.m_app
      .add_option("--timeout-ms", line.m_timeout_ms,
                  "Longest wait for an answer, in milliseconds")
      ->capture_default_str()
      ->check(CLI::Range(1, 600000));
  line.m_app.require_subcommand(1);
  line.m_app.footer(std::string(kExamples) +
                    hickoryloft::tools::kExitCodesHelp);
}

}  // namespace

int main(int argc, char** argv) {
  CommandLine line;
  AddGlobalOptions(line);
  AddDocumentCommands(line);
  AddKeyCommands(line);
  AddOtherCommands(line);
  AddLogCommands(line);
  try {
    line.m_app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return line.m_app.exit(error) == 0 ? hickoryloft::tools::kExitOk
                                       : hickoryloft::tools::kExitUsage;
  }
  line.m_options.m_timeout = std::chrono::milliseconds(line.m_timeout_ms);
  try {
    line.m_chosen(line.m_options);
  } catch (const hickoryloft::Error& error) {
    std::cerr << "loftctl: " << hickoryloft::ToString(error.code()) << ": "
              << error.what() << '\n';
    return hickoryloft::tools::ExitCodeFor(error.code());
  }
  return hickoryloft::tools::kExitOk;
}
