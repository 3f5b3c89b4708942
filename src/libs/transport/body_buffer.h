#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"

namespace camphorsaddle::transport {

//! \brief Body of a request while it arrives, in blocks of a fixed size.
//!
//! A string that grows to some hundred kilobytes is copied to ever larger areas of memory, which leave gaps that other requests can't
//! use. Blocks are reused as they are.
class body_buffer {
public:
    void append(absl::string_view data);

    std::size_t size() const
    {
        return m_size;
    }

    //! \brief Bytes of memory that the blocks take.
    std::size_t heldBytes() const
    {
        return m_heldBytes;
    }

    //! \brief Returns the whole body and leaves the buffer empty.
    std::string take();

private:
    std::vector<std::string> m_blocks;
    std::size_t m_size = 0;
    std::size_t m_heldBytes = 0;
};

} // namespace camphorsaddle::transport
