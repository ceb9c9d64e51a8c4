#pragma once

#include <optional>
#include <string>
#include <string_view>

// The grammar of HTTP/1.1 heads (RFC 9110, 9112) that every head is held to, whoever sent it.
namespace Net {

// A token: the syntax of field names and methods (RFC 9110, 5.6.2).
bool isToken(std::string_view);
// Visible characters, spaces, tabs and bytes above ASCII: no control characters (RFC 9110, 5.5).
bool isFieldValue(std::string_view);
// A field line without its line end: a token, a colon, a field value.
bool isFieldLine(std::string_view);

struct StatusLine {
    int minorVersion = 1; // of HTTP/1
    int status = 0; // 100 to 599
    std::string_view reason;
};

// nullopt for anything but "HTTP/1.x", a space, three digits from 100 to 599 and an optional reason phrase after a space. Refers
// to the line's bytes.
std::optional<StatusLine> parseStatusLine(std::string_view line);

// The start of a malformed message for logs: control characters and bytes above ASCII escaped, of bounded length.
std::string excerpt(std::string_view);

}
