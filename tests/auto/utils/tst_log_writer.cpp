#include <fcntl.h>
#include <unistd.h>

#include <gtest/gtest.h>

#include <memory>

#include "utils/log_writer.h"

using namespace camphorsaddle::utils;

namespace {

std::string readAll(int descriptor)
{
    std::string text;
    char buffer[4096];
    while (true) {
        const auto count = read(descriptor, buffer, sizeof(buffer));
        if (count <= 0)
            return text;
        text.append(buffer, static_cast<std::size_t>(count));
    }
}

} // namespace

TEST(LogWriter, StalledReaderDoesNotBlockWriters)
{
    int ends[2];
    ASSERT_EQ(pipe(ends), 0);
    auto writer = std::make_unique<log_writer>(ends[1], log_writer_settings { 10'000, 1 });
    const std::string line(100, 'x');
    // More than the pipe and the buffer can hold; the calls return although nobody reads.
    for (int count = 0; count < 5000; ++count)
        writer->write(line);
    EXPECT_GT(writer->droppedLineCount(), 0u);
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    writer.reset();
    close(ends[1]);
    EXPECT_FALSE(readAll(ends[0]).empty());
    close(ends[0]);
}

TEST(LogWriter, ReportsNumberOfDroppedLines)
{
    int ends[2];
    ASSERT_EQ(pipe(ends), 0);
    std::uint64_t droppedLineCount = 0;
    {
        log_writer writer(ends[1], { 250, 1000 });
        for (int count = 0; count < 10; ++count)
            writer.write(std::string(99, 'x'));
        droppedLineCount = writer.droppedLineCount();
    }
    close(ends[1]);
    EXPECT_EQ(droppedLineCount, 8u);
    EXPECT_NE(readAll(ends[0]).find("event=120 name=log_dropped count=8"), std::string::npos);
    close(ends[0]);
}
