// pw-target: stands in for the users' server on one VM, in tests and the demo.
// Behaviour comes from --config (members of target_config) and can be changed
// on the control port: PUT /config.
#include <CLI/CLI.hpp>

#include <fstream>
#include <iostream>
#include <sstream>
#include <utility>

#include <boost/asio.hpp>

#include "standin/target.h"

namespace pistachioweir::standin {
namespace {

int Run(int argc, char** argv) {
  CLI::App app("Stand-in for a target.");
  target_options options;
  std::string listen = "127.0.0.1:0";
  std::string control = "127.0.0.1:0";
  std::string local = "127.0.0.1:0";
  std::string config_path;
  app.add_option("--vm", options.vm)->required();
  app.add_option("--service", options.service)->required();
  app.add_option("--listen", listen, "IP:PORT for the daemon");
  app.add_option("--control", control, "IP:PORT that changes behaviour");
  app.add_option("--local", local, "IP:PORT of the daemon's local port");
  app.add_option("--config", config_path, "JSON file of behaviour")->required();
  app.add_option("--records", options.records, "File of JSON lines");
  app.add_option("--seed", options.seed);
  CLI11_PARSE(app, argc, argv);

  options.local = ParseEndpoint(local);
  std::ostringstream text;
  text << std::ifstream(config_path).rdbuf();
  target_config config;
  config.Apply(ParseJson(text.str()));

  boost::asio::io_context io;
  target serving(io, std::move(options), std::move(config));
  const http_server calls(
      io, ParseEndpoint(listen),
      [&serving](const auto& exchange) { serving.Serve(exchange); });
  const http_server controlling(
      io, ParseEndpoint(control),
      [&serving](const auto& exchange) { serving.Control(exchange); });
  boost::asio::signal_set stop(io, SIGTERM, SIGINT);
  stop.async_wait([&io](auto, int) { io.stop(); });
  std::cout << "ready listen=" << Authority(calls.address())
            << " control=" << Authority(controlling.address()) << std::endl;
  io.run();
  return 0;
}

}  // namespace
}  // namespace pistachioweir::standin

int main(int argc, char** argv) {
  try {
    return pistachioweir::standin::Run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "pw-target: " << error.what() << '\n';
    return 1;
  }
}
