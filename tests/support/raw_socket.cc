// Blocking sockets with a receive timeout.
#include "tests/support/raw_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>

namespace pistachioweir {
namespace {

constexpr timeval kReceiveTimeout{.tv_sec = 1, .tv_usec = 500000};

sockaddr_in ToAddress(const endpoint& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

}  // namespace

std::string ExchangeBytes(const endpoint& address,
                          std::string_view bytes,
                          bool half_close) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &kReceiveTimeout,
             sizeof(kReceiveTimeout));
  const sockaddr_in to = ToAddress(address);
  std::string received;
  if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0) {
    while (!bytes.empty()) {
      const ssize_t sent = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (sent <= 0) {
        break;
      }
      bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    if (half_close) {
      shutdown(fd, SHUT_WR);
    }
    std::array<char, 4096> buffer{};
    for (;;) {
      const ssize_t count = recv(fd, buffer.data(), buffer.size(), 0);
      if (count <= 0) {
        break;
      }
      received.append(buffer.data(), static_cast<std::size_t>(count));
    }
  }
  close(fd);
  return received;
}

void SendDatagram(const endpoint& address, std::string_view bytes) {
  const int fd = socket(AF_INET, SOCK_DGRAM, 0);
  const sockaddr_in to = ToAddress(address);
  sendto(fd, bytes.data(), bytes.size(), 0,
         reinterpret_cast<const sockaddr*>(&to), sizeof(to));
  close(fd);
}

}  // namespace pistachioweir
