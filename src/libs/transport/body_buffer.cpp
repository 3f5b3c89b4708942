#include "transport/body_buffer.h"

#include <utility>

namespace camphorsaddle::transport {

namespace {

    constexpr std::size_t blockBytes = 16 << 10;

} // namespace

void body_buffer::append(absl::string_view data)
{
    m_size += data.size();
    while (!data.empty()) {
        if (m_blocks.empty() || m_blocks.back().size() == blockBytes)
            m_heldBytes += m_blocks.emplace_back().capacity();
        auto& block = m_blocks.back();
        const auto heldBefore = block.capacity();
        const auto part = data.substr(0, blockBytes - block.size());
        // The first block grows with the body, since most bodies are much smaller than a block. A string at least doubles, so that a
        // block which is more than half full would become larger than the others.
        if (m_blocks.size() > 1 || block.size() + part.size() > blockBytes / 4)
            block.reserve(blockBytes);
        block.append(part.data(), part.size());
        data.remove_prefix(part.size());
        m_heldBytes += block.capacity() - heldBefore;
    }
}

std::string body_buffer::take()
{
    const auto blocks = std::exchange(m_blocks, {});
    std::string body;
    body.reserve(std::exchange(m_size, 0));
    m_heldBytes = 0;
    for (const auto& block : blocks)
        body.append(block);
    return body;
}

} // namespace camphorsaddle::transport
