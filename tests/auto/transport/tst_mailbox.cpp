#include "transport/mailbox.h"

#include <thread>
#include <vector>

#include "gtest/gtest.h"

namespace camphorsaddle::transport {

namespace {

    TEST(mailbox, DeliversMessagesOfEachSenderOnceAndInOrder)
    {
        constexpr int senders = 4;
        constexpr int messagesPerSender = 2000;
        struct numbered_message {
            int sender = 0;
            int number = 0;
        };

        event_loop loop;
        mailbox<numbered_message> box("tst_mailbox");
        std::vector<int> nextNumbers(senders, 0);
        int received = 0;
        box.open(loop, [&](numbered_message message) {
            EXPECT_EQ(message.number, nextNumbers[message.sender]++);
            if (++received == senders * messagesPerSender)
                loop.stop();
        });
        std::vector<std::thread> threads;
        threads.reserve(senders);
        for (int sender = 0; sender < senders; ++sender) {
            threads.emplace_back([&box, sender] {
                for (int number = 0; number < messagesPerSender; ++number)
                    box.post({ sender, number });
            });
        }
        loop.run();
        for (auto& thread : threads)
            thread.join();
        EXPECT_EQ(received, senders * messagesPerSender);
    }

    TEST(mailbox, CanBeClosedByItsCallback)
    {
        event_loop loop;
        mailbox<int> box("tst_closed_mailbox");
        std::vector<int> received;
        box.open(loop, [&](int message) {
            received.push_back(message);
            box.close();
            received.push_back(message + 1);
            loop.stop();
        });
        box.post(1);
        box.post(10);
        loop.run();
        EXPECT_EQ(received, (std::vector<int> { 1, 2 }));
    }

} // namespace

} // namespace camphorsaddle::transport
