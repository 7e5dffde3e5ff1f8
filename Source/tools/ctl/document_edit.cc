#include "tools/ctl/document_edit.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>
#include <vector>

#include "base/error.h"
#include "documents/document.h"
#include "documents/parse_document.h"

namespace hickoryloft::tools {

namespace {

using Lines = std::vector<std::string>;

Lines SplitLines(const std::string& text) {
  Lines lines;
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);) {
    lines.push_back(line);
  }
  return lines;
}

std::string JoinLines(const Lines& lines) {
  std::string text;
  for (const std::string& line : lines) {
    text += line;
    text += '\n';
  }
  return text;
}

bool IsTableHeader(const std::string& line) {
  return !line.empty() && line.front() == '[';
}

std::string KeyTableHeader(const KeyName& name) {
  return "[accounts." + name.m_account + ".keys." + name.m_key + "]";
}

// Returns the digest of the key in `document`, or "" if there is none. Throws
// Error(kInvalidDocument) if the account does not exist.
std::string FindDigest(const documents::Document& document,
                       const KeyName& name) {
  const auto found = document.m_accounts.find(ClientAccountId(name.m_account));
  if (found == document.m_accounts.end()) {
    throw Error(ErrorCode::kInvalidDocument,
                "the document has no account '" + name.m_account + "'");
  }
  for (const documents::KeyDigest& key : found->second.m_keys) {
    if (key.m_name == name.m_key) {
      return key.m_digest;
    }
  }
  return "";
}

documents::Document Parse(const ServiceId& service, const std::string& text) {
  return documents::ParseDocument(service, text, service.value());
}

}  // namespace

std::string AddKey(const ServiceId& service,
                   const std::string& text,
                   const KeyName& name,
                   const std::string& digest) {
  if (!FindDigest(Parse(service, text), name).empty()) {
    throw Error(ErrorCode::kInvalidDocument,
                "account '" + name.m_account + "' already has a key '" +
                    name.m_key + "'; withdraw it first or choose another name");
  }
  std::string edited = text;
  if (!edited.empty() && edited.back() != '\n') {
    edited += '\n';
  }
  edited += "\n" + KeyTableHeader(name) + "\ndigest = \"" + digest + "\"\n";
  Parse(service, edited);
  return edited;
}

std::string RemoveKey(const ServiceId& service,
                      const std::string& text,
                      const KeyName& name) {
  if (FindDigest(Parse(service, text), name).empty()) {
    throw Error(ErrorCode::kNotFound, "account '" + name.m_account +
                                          "' has no key '" + name.m_key + "'");
  }
  Lines lines = SplitLines(text);
  const auto header =
      std::find(lines.begin(), lines.end(), KeyTableHeader(name));
  if (header != lines.end()) {
    lines.erase(header, std::find_if(header + 1, lines.end(), &IsTableHeader));
  }
  std::string edited = JoinLines(lines);
  if (!FindDigest(Parse(service, edited), name).empty()) {
    throw Error(ErrorCode::kInvalidDocument,
                "the key is not written as the table " + KeyTableHeader(name) +
                    "; remove it with an editor and apply the document");
  }
  return edited;
}

std::string SetDraining(const ServiceId& service,
                        const std::string& text,
                        const EndpointId& endpoint,
                        bool draining) {
  auto endpoints = Parse(service, text).m_capacity.m_draining;
  if (draining) {
    endpoints.insert(endpoint);
  } else {
    endpoints.erase(endpoint);
  }
  nlohmann::json list = nlohmann::json::array();
  for (const EndpointId& id : endpoints) {
    list.push_back(id.value());
  }
  const std::string line = "draining = " + list.dump();

  Lines lines = SplitLines(text);
  const auto header = std::find(lines.begin(), lines.end(), "[capacity]");
  if (header == lines.end()) {
    throw Error(ErrorCode::kInvalidDocument,
                "the document has no table [capacity]; add it first");
  }
  const auto end = std::find_if(header + 1, lines.end(), &IsTableHeader);
  const auto old_line = std::find_if(
      header + 1, end,
      [](const std::string& item) { return item.rfind("draining", 0) == 0; });
  if (old_line != end) {
    *old_line = line;
  } else {
    lines.insert(header + 1, line);
  }
  std::string edited = JoinLines(lines);
  if (Parse(service, edited).m_capacity.m_draining != endpoints) {
    throw Error(ErrorCode::kInvalidDocument,
                "capacity.draining is not written on one line; edit it by hand "
                "and apply the document");
  }
  return edited;
}

}  // namespace hickoryloft::tools
