#pragma once

#include "figcleat/core/clock.h"
#include "figcleat/core/result-code.h"
#include "figcleat/settings/daemon-settings.h"

#include <nlohmann/json.hpp>
#include <string>

namespace figcleat::cli
{

/** Answer of an entry's operator interface. */
struct operator_answer
{
    int httpStatus = 0;
    nlohmann::json body;
};

struct raw_answer
{
    int httpStatus = 0;
    std::string body;
};

/** One request to the operator interface of one entry; blocks until the answer or the timeout. */
class operator_client
{
public:
    operator_client(socket_address entry, std::string credential, duration timeout);

    [[nodiscard]] expected<operator_answer> get(const std::string &path) const;
    /** An answer that is no JSON; operator_credential_wrong or not_found if the entry refuses. */
    [[nodiscard]] expected<std::string> getText(const std::string &path) const;
    [[nodiscard]] expected<operator_answer> post(const std::string &path, const std::string &body) const;

private:
    [[nodiscard]] expected<raw_answer> call(const std::string &method, const std::string &path,
                                            const std::string &body) const;

    socket_address m_entry;
    std::string m_credential;
    duration m_timeout;
};

} // namespace figcleat::cli
