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
  CommandFunction m_command = nullptr;
};

CLI::App* AddCommand(CommandLine& command_line,
                     CLI::App* group,
                     const std::string& name,
                     const std::string& help,
                     CommandFunction function) {
  CLI::App* command = group->add_subcommand(name, help);
  command->callback(
      [&command_line, function] { command_line.m_command = function; });
  return command;
}

void AddFileArguments(CommandLine& command_line, CLI::App* command) {
  command
      ->add_option("file", command_line.m_options.m_file, "The document's file")
      ->required()
      ->check(CLI::ExistingFile);
  command->add_option("--service", command_line.m_options.m_service,
                      "The service; by default the file's name");
}

void AddServiceArgument(CommandLine& command_line, CLI::App* command) {
  command
      ->add_option("service", command_line.m_options.m_service, "The service")
      ->required();
}

void AddDocumentCommands(CommandLine& command_line) {
  using namespace hickoryloft::tools;
  CLI::App* group = command_line.m_app.add_subcommand(
      "document", "Check, compare and apply a service's document");
  group->require_subcommand(1);
  AddFileArguments(command_line,
                   AddCommand(command_line, group, "check",
                              "Check a file without contacting a coordinator",
                              &CheckDocument));
  AddFileArguments(
      command_line,
      AddCommand(command_line, group, "diff",
                 "Show how a file differs from the stored document",
                 &DiffDocument));
  CLI::App* apply =
      AddCommand(command_line, group, "apply",
                 "Store a file and wait until it is accepted", &ApplyDocument);
  AddFileArguments(command_line, apply);
  apply->add_option("--if-revision", command_line.m_options.m_expected_revision,
                    "Apply only if the stored document has this revision; 0: "
                    "only if there is none");
  AddServiceArgument(command_line,
                     AddCommand(command_line, group, "get",
                                "Print the stored document", &GetDocument));
  AddServiceArgument(command_line,
                     AddCommand(command_line, group, "delete",
                                "Remove the stored document", &DeleteDocument));
}

void AddKeyCommands(CommandLine& command_line) {
  using namespace hickoryloft::tools;
  CLI::App* group = command_line.m_app.add_subcommand(
      "key", "Issue and withdraw keys of client accounts");
  group->require_subcommand(1);
  for (CLI::App* command :
       {AddCommand(command_line, group, "issue",
                   "Create a key, store its digest, print the key once",
                   &IssueKey),
        AddCommand(command_line, group, "withdraw", "Make a key stop working",
                   &WithdrawKey)}) {
    AddServiceArgument(command_line, command);
    command
        ->add_option("account", command_line.m_options.m_account, "The account")
        ->required();
    command
        ->add_option("name", command_line.m_options.m_key_name,
                     "The key's name")
        ->required();
  }
}

void AddOtherCommands(CommandLine& command_line) {
  using namespace hickoryloft::tools;
  CLI::App* endpoint = command_line.m_app.add_subcommand(
      "endpoint", "Take endpoints out of service and back");
  endpoint->require_subcommand(1);
  CLI::App* drain = AddCommand(command_line, endpoint, "drain",
                               "Give an endpoint no new work", &DrainEndpoint);
  CLI::App* undrain = AddCommand(command_line, endpoint, "undrain",
                                 "Give an endpoint work again", &DrainEndpoint);
  undrain->callback([&command_line] {
    command_line.m_command = &DrainEndpoint;
    command_line.m_options.m_draining = false;
  });
  for (CLI::App* command : {drain, undrain}) {
    AddServiceArgument(command_line, command);
    command
        ->add_option("endpoint", command_line.m_options.m_endpoint,
                     "The endpoint")
        ->required();
  }
  CLI::App* status =
      AddCommand(command_line, &command_line.m_app, "status",
                 "Print members, claims and documents", &PrintStatus);
  status->add_flag("--json", command_line.m_options.m_json,
                   "Print JSON on one line");
}

void AddLogCommands(CommandLine& command_line) {
  using namespace hickoryloft::tools;
  CLI::App* explain = AddCommand(
      command_line, &command_line.m_app, "explain",
      "Show what became of a request, from the hosts' logs", &ExplainRequest);
  explain
      ->add_option("request", command_line.m_options.m_request_id,
                   "The request's id")
      ->required();
  explain
      ->add_option("file", command_line.m_options.m_logs,
                   "Logs of all hosts; without any, standard input is read")
      ->check(CLI::ExistingFile);
  AddCommand(command_line, &command_line.m_app, "log-fields",
             "Print the fields that log lines may have", &PrintLogFields);
}

void AddGlobalOptions(CommandLine& command_line) {
  command_line.m_app.set_version_flag(
      "--version", std::string("loftctl ") + HICKORYLOFT_VERSION);
  command_line.m_app
      .add_option("--coordinator", command_line.m_options.m_coordinator,
                  "The admin address of any coordinator, ip:port")
      ->capture_default_str();
  command_line.m_app.add_option(
      "--operator-key-file", command_line.m_options.m_operator_key_file,
      "File whose first line is the operator key; keys are never arguments");
  command_line.m_app
      .add_option("--timeout-ms", command_line.m_timeout_ms,
                  "Longest wait for an answer, in milliseconds")
      ->capture_default_str()
      ->check(CLI::Range(1, 600000));
  command_line.m_app.require_subcommand(1);
  command_line.m_app.footer(std::string(kExamples) +
                            hickoryloft::tools::kExitCodesHelp);
}

}  // namespace

int main(int argc, char** argv) {
  CommandLine command_line;
  AddGlobalOptions(command_line);
  AddDocumentCommands(command_line);
  AddKeyCommands(command_line);
  AddOtherCommands(command_line);
  AddLogCommands(command_line);
  try {
    command_line.m_app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return command_line.m_app.exit(error) == 0 ? hickoryloft::tools::kExitOk
                                               : hickoryloft::tools::kExitUsage;
  }
  command_line.m_options.m_timeout =
      std::chrono::milliseconds(command_line.m_timeout_ms);
  try {
    command_line.m_command(command_line.m_options);
  } catch (const hickoryloft::Error& error) {
    std::cerr << "loftctl: " << hickoryloft::ToString(error.code()) << ": "
              << error.what() << '\n';
    return hickoryloft::tools::ExitCodeFor(error.code());
  }
  return hickoryloft::tools::kExitOk;
}
