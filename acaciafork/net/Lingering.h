#pragma once

#include <string_view>
#include <vector>

#include "acaciafork/core/Time.h"

namespace acaciafork::net {

/// Connections that were answered before their request was whole. Each is read on for a while,
/// since closing it with unread bytes would reset it and destroy the answer on its way.
class Lingering
{
public:
    Lingering() = default;
    ~Lingering();
    Lingering(const Lingering &) = delete;
    Lingering &operator=(const Lingering &) = delete;

    /// Sends an answer on a descriptor that someone else closes, ends our direction, and lingers.
    void answer(int fd, std::string_view bytes, Timestamp now);

    /// Ends our direction of a descriptor that someone else closes, and lingers.
    void add(int fd, Timestamp now);

    /// Reads off what has come, and closes what has ended or is due.
    void tick(Timestamp now);

    /// Connections that linger.
    [[nodiscard]] std::size_t size() const { return m_items.size(); }

private:
    struct Item
    {
        int fd = -1;
        Timestamp until;
    };

    std::vector<Item> m_items;
};

} // namespace acaciafork::net
