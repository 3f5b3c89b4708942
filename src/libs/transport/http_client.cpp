#include "transport/http_client.h"

#include <curl/curl.h>
#include <poll.h>

#include <algorithm>
#include <set>
#include <unordered_map>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "utils/errors.h"

namespace camphorsaddle::transport {

namespace {

    // Bounds how long the rest of a response is read after the timeout of its call.
    constexpr int maximumReadsAfterTimeout = 64;

    struct transfer {
        http_call_id id = 0;
        http_call call;
        http_callback callback;
        utils::time_point startedAt;
        utils::time_point deadline;
        //! Size of the body when the deadline was set.
        std::size_t sizeAtDeadline = 0;
        //! End of the timeout on a clock that includes suspensions; nothing is sent after it.
        utils::time_point sendLimit;
        CURL* handle = nullptr;
        curl_socket_t socket = CURL_SOCKET_BAD;
        curl_slist* headers = nullptr;
        http_response response;
        bool isTooLarge = false;
        //! Why the request was not sent, or not sent again; empty if it was.
        std::string refusal;
        char errorText[CURL_ERROR_SIZE] = {};
    };

    std::string hostAndPortOf(const std::string& url)
    {
        const auto begin = url.find("://");
        const auto from = begin == std::string::npos ? 0 : begin + 3;
        return url.substr(from, url.find('/', from) - from);
    }

    absl::StatusCode statusCodeOf(CURLcode code, bool mayHaveBeenSent)
    {
        if (!mayHaveBeenSent)
            return absl::StatusCode::kUnavailable;
        return code == CURLE_OPERATION_TIMEDOUT ? absl::StatusCode::kDeadlineExceeded : absl::StatusCode::kUnknown;
    }

    std::string timeoutCause(const http_call& call, bool isConnected, std::size_t receivedBytes)
    {
        if (isConnected && call.idleTimeout && receivedBytes > 0)
            return absl::StrCat("the response stopped or took too long after ", receivedBytes, " bytes");
        if (isConnected)
            return absl::StrCat("no complete response within ", call.timeout.count(), " ms");
        return absl::StrCat("no connection within ", std::min(call.timeout, call.connectTimeout).count(), " ms");
    }

    bool isReadable(curl_socket_t socket)
    {
        pollfd state { socket, POLLIN, 0 };
        return socket != CURL_SOCKET_BAD && poll(&state, 1, 0) > 0 && (state.revents & POLLIN) != 0;
    }

    bool hasSentBytes(CURL* handle)
    {
        long sentBytes = 0;
        curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &sentBytes);
        return sentBytes > 0;
    }

    // libcurl calls this before each attempt to send the request, whether it has a new or a reused connection.
    int onBeforeRequest(void* target, char*, char*, int, int)
    {
        auto& current = *static_cast<transfer*>(target);
        if (utils::nowIncludingSuspend() > current.sendLimit)
            current.refusal = absl::StrCat("not sent within ", current.call.timeout.count(), " ms");
        else if (current.call.isSentAtMostOnce && hasSentBytes(current.handle))
            current.refusal = "the connection broke before the response";
        return current.refusal.empty() ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
    }

    std::size_t onBody(char* data, std::size_t size, std::size_t count, void* target)
    {
        auto& current = *static_cast<transfer*>(target);
        const std::size_t bytes = size * count;
        if (current.response.body.size() + bytes > current.call.responseLimit) {
            current.isTooLarge = true;
            return 0;
        }
        current.response.body.append(data, bytes);
        return bytes;
    }

    std::size_t onHeader(char* data, std::size_t size, std::size_t count, void* target)
    {
        auto& current = *static_cast<transfer*>(target);
        const absl::string_view line(data, size * count);
        const auto colon = line.find(':');
        if (absl::StartsWith(line, "HTTP/"))
            current.response.headers.clear();
        else if (colon != absl::string_view::npos)
            current.response.headers[absl::AsciiStrToLower(line.substr(0, colon))] = std::string(absl::StripAsciiWhitespace(line.substr(colon + 1)));
        return line.size();
    }

} // namespace

class curl_client : public http_client {
public:
    curl_client(event_loop& loop, long connectionsPerHost);
    ~curl_client() override;

    http_call_id start(http_call call, http_callback callback) override;
    void cancel(http_call_id id) override;

    void setMaximumIdleTime(utils::seconds age) override
    {
        m_maximumIdleTime = age;
    }

    void setMaximumConnectionAge(utils::seconds age) override
    {
        m_maximumConnectionAge = age;
    }

private:
    static int onSocket(CURL* handle, curl_socket_t socket, int action, void* self, void* socketData);
    static int onTimer(CURLM* multi, long delay, void* self);

    void configure(transfer& current);
    void processSocketEvents(curl_socket_t socket, int events);
    void finishTransfers();
    //! \brief Ends the transfers whose timeout has passed.
    //!
    //! libcurl's own limit of a transfer isn't used: libcurl discards a timeout that is due within a millisecond after another
    //! one of the same transfer, which then never ends.
    void endOverdueTransfers(utils::time_point now);
    //! \brief Reads what has arrived for a transfer, which the loop may not have had the time for; returns whether that ended it.
    bool endsByArrivedData(http_call_id id);
    //! \brief Gives a transfer whose response keeps arriving more time; returns whether it has any left.
    bool extendsDeadline(transfer& current, utils::time_point now);
    void startDeadlineTimer(utils::time_point now);
    std::unique_ptr<transfer> takeTransfer(http_call_id id);
    http_result resultOf(transfer& current, CURLcode code) const;
    CURL* acquireHandle();
    void releaseTransfer(transfer& current);

    event_loop& m_loop;
    CURLM* m_multi;
    timer m_timer;
    timer m_deadlineTimer;
    std::set<std::pair<utils::time_point, http_call_id>> m_deadlines;
    std::unordered_map<curl_socket_t, std::unique_ptr<io_watcher>> m_watchers;
    std::unordered_map<http_call_id, std::unique_ptr<transfer>> m_transfers;
    std::vector<std::unique_ptr<io_watcher>> m_retiredWatchers;
    std::vector<CURL*> m_idleHandles;
    http_call_id m_nextId = 1;
    utils::seconds m_maximumIdleTime { 20 };
    utils::seconds m_maximumConnectionAge { 300 };
};

curl_client::curl_client(event_loop& loop, long connectionsPerHost)
    : m_loop(loop)
    , m_multi(curl_multi_init())
    , m_timer(loop, [this] { processSocketEvents(CURL_SOCKET_TIMEOUT, 0); })
    , m_deadlineTimer(loop, [this] { endOverdueTransfers(m_loop.now()); })
{
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &curl_client::onSocket);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &curl_client::onTimer);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_MAX_HOST_CONNECTIONS, connectionsPerHost);
}

curl_client::~curl_client()
{
    while (!m_transfers.empty())
        cancel(m_transfers.begin()->first);
    for (auto* handle : m_idleHandles)
        curl_easy_cleanup(handle);
    curl_multi_cleanup(m_multi);
}

CURL* curl_client::acquireHandle()
{
    if (m_idleHandles.empty())
        return curl_easy_init();
    CURL* handle = m_idleHandles.back();
    m_idleHandles.pop_back();
    curl_easy_reset(handle);
    return handle;
}

void curl_client::configure(transfer& current)
{
    const auto& call = current.call;
    CURL* handle = current.handle;
    curl_easy_setopt(handle, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    curl_easy_setopt(handle, CURLOPT_NOBODY, call.method == "HEAD" ? 1L : 0L);
    if (!call.body.empty() || call.method == "POST" || call.method == "PUT") {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.body.size()));
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.body.data());
    }
    for (const auto& [name, value] : call.headers)
        current.headers = curl_slist_append(current.headers, absl::StrCat(name, ": ", value).c_str());
    // Disables "Expect: 100-continue", which would cost a round trip.
    current.headers = curl_slist_append(current.headers, "Expect:");
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, current.headers);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &onBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &current);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &onHeader);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &current);
    curl_easy_setopt(handle, CURLOPT_ERRORBUFFER, current.errorText);
    curl_easy_setopt(handle, CURLOPT_PRIVATE, &current);
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &onBeforeRequest);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, &current);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(call.connectTimeout.count()));
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, call.requiresNewConnection ? 1L : 0L);
    curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, call.closesConnection ? 1L : 0L);
    curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN, static_cast<long>(m_maximumIdleTime.count()));
    curl_easy_setopt(handle, CURLOPT_MAXLIFETIME_CONN, static_cast<long>(m_maximumConnectionAge.count()));
}

http_call_id curl_client::start(http_call call, http_callback callback)
{
    auto owned = std::make_unique<transfer>();
    auto& current = *owned;
    current.id = m_nextId++;
    current.call = std::move(call);
    current.callback = std::move(callback);
    current.handle = acquireHandle();
    configure(current);
    const auto now = m_loop.now();
    current.startedAt = now;
    current.deadline = now + current.call.timeout;
    current.sendLimit = utils::nowIncludingSuspend() + current.call.timeout;
    m_deadlines.emplace(current.deadline, current.id);
    m_transfers.emplace(current.id, std::move(owned));
    curl_multi_add_handle(m_multi, current.handle);
    if (m_deadlines.begin()->second == current.id)
        startDeadlineTimer(now);
    return current.id;
}

void curl_client::startDeadlineTimer(utils::time_point now)
{
    if (!m_deadlines.empty())
        m_deadlineTimer.startOnce(std::max(utils::milliseconds(0), std::chrono::ceil<utils::milliseconds>(m_deadlines.begin()->first - now)));
}

void curl_client::endOverdueTransfers(utils::time_point now)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const auto id = m_deadlines.begin()->second;
        if (endsByArrivedData(id) || extendsDeadline(*m_transfers.at(id), now))
            continue;
        const auto owned = takeTransfer(id);
        http_result result = resultOf(*owned, CURLE_OPERATION_TIMEDOUT);
        releaseTransfer(*owned);
        owned->callback(std::move(result));
    }
    startDeadlineTimer(now);
    m_retiredWatchers.clear();
}

bool curl_client::endsByArrivedData(http_call_id id)
{
    for (int reads = 0; reads < maximumReadsAfterTimeout; ++reads) {
        const auto found = m_transfers.find(id);
        if (found == m_transfers.end())
            return true;
        const auto socket = found->second->socket;
        if (!isReadable(socket))
            return false;
        processSocketEvents(socket, EV_READ);
    }
    return !m_transfers.contains(id);
}

bool curl_client::extendsDeadline(transfer& current, utils::time_point now)
{
    const auto size = current.response.body.size();
    if (!current.call.idleTimeout || size == current.sizeAtDeadline)
        return false;
    const auto deadline = std::min(now + *current.call.idleTimeout, current.startedAt + current.call.maximumDuration);
    if (deadline <= now)
        return false;
    m_deadlines.erase({ current.deadline, current.id });
    current.deadline = deadline;
    current.sizeAtDeadline = size;
    m_deadlines.emplace(deadline, current.id);
    return true;
}

std::unique_ptr<transfer> curl_client::takeTransfer(http_call_id id)
{
    const auto found = m_transfers.find(id);
    if (found == m_transfers.end())
        return nullptr;
    auto owned = std::move(found->second);
    m_transfers.erase(found);
    m_deadlines.erase({ owned->deadline, id });
    return owned;
}

void curl_client::releaseTransfer(transfer& current)
{
    curl_multi_remove_handle(m_multi, current.handle);
    curl_easy_setopt(current.handle, CURLOPT_PRIVATE, nullptr);
    curl_slist_free_all(current.headers);
    m_idleHandles.push_back(current.handle);
}

void curl_client::cancel(http_call_id id)
{
    if (const auto owned = takeTransfer(id))
        releaseTransfer(*owned);
}

void curl_client::processSocketEvents(curl_socket_t socket, int events)
{
    int running = 0;
    const int mask = ((events & EV_READ) != 0 ? CURL_CSELECT_IN : 0) | ((events & EV_WRITE) != 0 ? CURL_CSELECT_OUT : 0);
    curl_multi_socket_action(m_multi, socket, mask, &running);
    finishTransfers();
    m_retiredWatchers.clear();
}

void curl_client::finishTransfers()
{
    int waiting = 0;
    while (CURLMsg* message = curl_multi_info_read(m_multi, &waiting)) {
        if (message->msg != CURLMSG_DONE)
            continue;
        const CURLcode code = message->data.result;
        transfer* current = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &current);
        const auto owned = takeTransfer(current->id);
        http_result result = resultOf(*owned, code);
        releaseTransfer(*owned);
        owned->callback(std::move(result));
    }
}

http_result curl_client::resultOf(transfer& current, CURLcode code) const
{
    http_result result;
    long status = 0;
    long connects = 0;
    curl_easy_getinfo(current.handle, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo(current.handle, CURLINFO_NUM_CONNECTS, &connects);
    result.mayHaveBeenSent = hasSentBytes(current.handle);
    result.isConnectionReused = connects == 0;
    result.response = std::move(current.response);
    result.response.status = static_cast<int>(status);
    if (code == CURLE_OK)
        return result;
    const std::string cause = code == CURLE_OPERATION_TIMEDOUT ? timeoutCause(current.call, result.mayHaveBeenSent, result.response.body.size())
        : current.isTooLarge                                   ? absl::StrCat("the response is larger than ", current.call.responseLimit, " bytes")
        : !current.refusal.empty()                             ? current.refusal
        : current.errorText[0] != '\0'                         ? current.errorText
                                                               : curl_easy_strerror(code);
    result.status = utils::makeError(statusCodeOf(code, result.mayHaveBeenSent), absl::StrCat(current.call.method, " ", current.call.url), hostAndPortOf(current.call.url), cause);
    return result;
}

int curl_client::onSocket(CURL* handle, curl_socket_t socket, int action, void* self, void*)
{
    auto& client = *static_cast<curl_client*>(self);
    transfer* current = nullptr;
    curl_easy_getinfo(handle, CURLINFO_PRIVATE, &current);
    if (current != nullptr && action != CURL_POLL_REMOVE)
        current->socket = socket;
    else if (current != nullptr && current->socket == socket)
        current->socket = CURL_SOCKET_BAD;
    if (action == CURL_POLL_REMOVE) {
        // The callback of this watcher may be running, so the watcher is deleted later.
        if (const auto found = client.m_watchers.find(socket); found != client.m_watchers.end()) {
            found->second->stop();
            client.m_retiredWatchers.push_back(std::move(found->second));
            client.m_watchers.erase(found);
        }
        return 0;
    }
    auto& watcher = client.m_watchers[socket];
    if (!watcher)
        watcher = std::make_unique<io_watcher>(client.m_loop, [&client, socket](int events) { client.processSocketEvents(socket, events); });
    const int events = ((action & CURL_POLL_IN) != 0 ? EV_READ : 0) | ((action & CURL_POLL_OUT) != 0 ? EV_WRITE : 0);
    watcher->start(socket, events);
    return 0;
}

int curl_client::onTimer(CURLM*, long delay, void* self)
{
    auto& client = *static_cast<curl_client*>(self);
    if (delay < 0)
        client.m_timer.stop();
    else
        client.m_timer.startOnce(utils::milliseconds(delay));
    return 0;
}

std::unique_ptr<http_client> http_client::create(event_loop& loop, long connectionsPerHost)
{
    static const CURLcode initializationResult = curl_global_init(CURL_GLOBAL_DEFAULT);
    return initializationResult == CURLE_OK ? std::make_unique<curl_client>(loop, connectionsPerHost) : nullptr;
}

} // namespace camphorsaddle::transport
