// Sums and tables of a load.
#include "tools/load_report.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace pistachioweir::standin {
namespace {

void Add(method_report* total, const method_report& one) {
  total->sent += one.sent;
  total->in_deadline += one.in_deadline;
  total->late += one.late;
  total->failed += one.failed;
  total->not_executed += one.not_executed;
  total->unknown += one.unknown;
  total->wrong += one.wrong;
  total->resends += one.resends;
  for (const auto& [why, count] : one.reasons) {
    total->reasons[why] += count;
  }
  for (const auto& [second, count] : one.goodput) {
    total->goodput[second] += count;
  }
  total->latencies_ms.insert(total->latencies_ms.end(),
                             one.latencies_ms.begin(), one.latencies_ms.end());
}

Json::Value ToJson(const method_report& report) {
  Json::Value value;
  value["sent"] = static_cast<Json::UInt64>(report.sent);
  value["in_deadline"] = static_cast<Json::UInt64>(report.in_deadline);
  value["late"] = static_cast<Json::UInt64>(report.late);
  value["failed"] = static_cast<Json::UInt64>(report.failed);
  value["not_executed"] = static_cast<Json::UInt64>(report.not_executed);
  value["unknown"] = static_cast<Json::UInt64>(report.unknown);
  value["wrong"] = static_cast<Json::UInt64>(report.wrong);
  value["resends"] = static_cast<Json::UInt64>(report.resends);
  value["p50_ms"] = Percentile(report.latencies_ms, 0.5);
  value["p99_ms"] = Percentile(report.latencies_ms, 0.99);
  for (const auto& [why, count] : report.reasons) {
    value["reasons"][why] = static_cast<Json::UInt64>(count);
  }
  for (const auto& [second, count] : report.goodput) {
    value["goodput"][std::to_string(second)] = static_cast<Json::UInt64>(count);
  }
  return value;
}

void AddLine(std::ostringstream* table,
             const std::string& name,
             const method_report& report) {
  *table << std::left << std::setw(14) << name << std::right;
  for (const std::uint64_t count :
       {report.sent, report.in_deadline, report.late, report.failed,
        report.not_executed, report.unknown}) {
    *table << std::setw(13) << count;
  }
  *table << std::fixed << std::setprecision(1);
  for (const double share : {0.5, 0.99}) {
    *table << std::setw(10) << Percentile(report.latencies_ms, share);
  }
  *table << '\n';
}

}  // namespace

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  const auto rank = static_cast<std::ptrdiff_t>(
      std::floor(share * static_cast<double>(values.size() - 1)));
  std::nth_element(values.begin(), values.begin() + rank, values.end());
  return values[static_cast<std::size_t>(rank)];
}

Json::Value ToJson(const load_report& report) {
  Json::Value value;
  method_report total;
  for (const auto& [name, method] : report) {
    value["methods"][name] = ToJson(method);
    Add(&total, method);
  }
  value["total"] = ToJson(total);
  return value;
}

std::string ToTable(const load_report& report) {
  std::ostringstream table;
  table << std::left << std::setw(14) << "method" << std::right;
  for (const char* const title :
       {"sent", "in deadline", "late", "failed", "not executed", "unknown"}) {
    table << std::setw(13) << title;
  }
  table << std::setw(10) << "p50 ms" << std::setw(10) << "p99 ms" << '\n';
  method_report total;
  for (const auto& [name, method] : report) {
    AddLine(&table, name, method);
    Add(&total, method);
  }
  AddLine(&table, "all", total);
  for (const auto& [why, count] : total.reasons) {
    table << "  " << why << ": " << count << '\n';
  }
  return table.str();
}

}  // namespace pistachioweir::standin
