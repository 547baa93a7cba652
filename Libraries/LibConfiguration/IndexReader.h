#pragma once

#include "LibConfiguration/Document.h"
#include "LibConfiguration/TableReader.h"
#include "LibConfiguration/UniqueNames.h"

#include <set>
#include <string>

namespace Configuration {

/// Reads the `[[index]]` tables. Server ids and addresses must be unique over all indexes, so one reader
/// serves a whole document.
class IndexReader
{
public:
    Index read(TableReader &table);

private:
    using NameSet = std::set<std::string, std::less<>>;

    BackendServer readServer(TableReader &table);
    Shard readShard(TableReader &table, const Index &index, UniqueNames &shardNames, NameSet &listed);

    UniqueNames indexNames_;
    UniqueNames serverIds_;
    UniqueNames serverAddresses_;
};

} // namespace Configuration
