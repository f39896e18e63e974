#include "figcleat/consensus/log-store.h"

#include <cerrno>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <sys/stat.h>
#include <system_error>
#include <unistd.h>

namespace figcleat::consensus
{

namespace
{

namespace fs = std::filesystem;

constexpr mode_t fileMode = 0600;

tl::unexpected<error> failed(const std::string &what, int number)
{
    const bool isFull = number == ENOSPC || number == EDQUOT || number == EFBIG;
    return fail(isFull ? result_code::disk_full : result_code::sync_failed,
                what + ": " + std::generic_category().message(number));
}

expected<void> check(bool succeeded, const std::string &what)
{
    return succeeded ? expected<void> {} : expected<void> { failed(what, errno) };
}

class file_folder : public data_folder
{
public:
    explicit file_folder(std::string path)
        : m_path(std::move(path))
    {
    }

    file_folder(const file_folder &) = delete;
    file_folder &operator=(const file_folder &) = delete;

    ~file_folder() override
    {
        for (const auto &[name, descriptor] : m_open) {
            ::close(descriptor);
        }
    }

    expected<std::vector<std::string>> list() override
    {
        std::error_code problem;
        std::vector<std::string> names;
        for (fs::directory_iterator at(m_path, problem), end; !problem && at != end; at.increment(problem)) {
            names.push_back(at->path().filename().string());
        }
        return problem ? expected<std::vector<std::string>> { failed(m_path, problem.value()) } : names;
    }

    expected<std::string> read(const std::string &name) override
    {
        std::ifstream file(pathOf(name), std::ios::binary);
        std::string content { std::istreambuf_iterator<char>(file), {} };
        if (!file.good() && !file.eof()) {
            return failed(pathOf(name), EIO);
        }
        return content;
    }

    expected<void> append(const std::string &name, std::string_view bytes) override
    {
        const auto file = open(name);
        while (file && !bytes.empty()) {
            const auto written = ::write(*file, bytes.data(), bytes.size());
            if (written < 0 && errno != EINTR) {
                return failed(pathOf(name), errno);
            }
            bytes.remove_prefix(written < 0 ? 0 : static_cast<std::size_t>(written));
        }
        return file.map([](int) {});
    }

    expected<void> truncate(const std::string &name, std::uint64_t size) override
    {
        return check(::truncate(pathOf(name).c_str(), static_cast<off_t>(size)) == 0, pathOf(name));
    }

    expected<void> sync(const std::string &name) override
    {
        return open(name).and_then([&](int file) { return check(::fsync(file) == 0, pathOf(name)); });
    }

    expected<void> syncFolder() override
    {
        return syncPath(m_path);
    }

    expected<void> rename(const std::string &from, const std::string &to) override
    {
        close(from);
        close(to);
        return check(::rename(pathOf(from).c_str(), pathOf(to).c_str()) == 0, pathOf(from));
    }

    expected<void> remove(const std::string &name) override
    {
        close(name);
        return check(::unlink(pathOf(name).c_str()) == 0 || errno == ENOENT, pathOf(name));
    }

    static expected<void> syncPath(const std::string &path)
    {
        const int folder = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
        if (folder < 0) {
            return failed(path, errno);
        }
        auto done = check(::fsync(folder) == 0, path);
        ::close(folder);
        return done;
    }

private:
    std::string pathOf(const std::string &name) const
    {
        return m_path + "/" + name;
    }

    expected<int> open(const std::string &name)
    {
        if (const auto found = m_open.find(name); found != m_open.end()) {
            return found->second;
        }
        const int file = ::open(pathOf(name).c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, fileMode);
        if (file < 0) {
            return failed(pathOf(name), errno);
        }
        m_open[name] = file;
        return file;
    }

    void close(const std::string &name)
    {
        if (const auto found = m_open.find(name); found != m_open.end()) {
            ::close(found->second);
            m_open.erase(found);
        }
    }

    std::string m_path;
    std::map<std::string, int> m_open;
};

} // namespace

expected<std::unique_ptr<data_folder>> openFolder(const std::string &path)
{
    std::error_code problem;
    const bool isNew = fs::create_directories(path, problem);
    if (problem) {
        return failed(path, problem.value());
    }
    if (isNew) {
        const auto parent = fs::absolute(path).parent_path().string();
        if (auto synced = file_folder::syncPath(parent); !synced) {
            return tl::unexpected(synced.error());
        }
    }
    return std::make_unique<file_folder>(path);
}

expected<std::string> setAside(const std::string &path)
{
    constexpr int maxNames = 1000;
    std::error_code problem;
    for (int number = 1; number <= maxNames; ++number) {
        const auto name = path + ".set-aside-" + std::to_string(number);
        if (fs::exists(name, problem)) {
            continue;
        }
        fs::rename(path, name, problem);
        if (problem) {
            return failed(path, problem.value());
        }
        return file_folder::syncPath(fs::absolute(path).parent_path().string()).map([&] { return name; });
    }
    return failed(path, EEXIST);
}

} // namespace figcleat::consensus
