#include "acaciafork/consensus/FolderDiscard.h"

#include <algorithm>

namespace acaciafork::consensus {

namespace {

/// Marks a folder whose files are being removed.
constexpr const char *discardMarker = "discard";
/// Marks a folder that was emptied by its own process.
constexpr const char *rejoinMarker = "rejoin";

Result<bool> contains(StorageFolder *files, std::string_view name)
{
    BOOST_LEAF_AUTO(names, files->list());
    return std::ranges::find(names, name) != names.end();
}

} // namespace

Result<void> beginDiscard(StorageFolder *files)
{
    // The text makes a full disk refuse the marker.
    BOOST_LEAF_AUTO(marker, files->openFile(discardMarker));
    BOOST_LEAF_CHECK(marker->append("emptied to join as a new member\n"));
    BOOST_LEAF_CHECK(marker->sync());
    return files->sync();
}

Result<void> finishDiscard(StorageFolder *files)
{
    BOOST_LEAF_AUTO(isMarked, contains(files, discardMarker));
    if (!isMarked)
        return {};
    BOOST_LEAF_AUTO(marker, files->openFile(rejoinMarker));
    BOOST_LEAF_CHECK(marker->sync());
    BOOST_LEAF_AUTO(names, files->list());
    for (const std::string &it : names) {
        if (it != rejoinMarker && it != discardMarker)
            BOOST_LEAF_CHECK(files->remove(it));
    }
    // Removed last: a crash must not leave files in a folder without the mark.
    BOOST_LEAF_CHECK(files->sync());
    BOOST_LEAF_CHECK(files->remove(discardMarker));
    return files->sync();
}

Result<bool> wasDiscarded(StorageFolder *files)
{
    return contains(files, rejoinMarker);
}

} // namespace acaciafork::consensus
